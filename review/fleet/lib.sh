# Shared by the scripts of the second review: starts the platform's stand-in, the
# workers and the daemons of a small deployment on loopback addresses, and ends
# what it started.  Sourced with HERE set to the folder of the case.
TROUBLE=${TROUBLE:-1}
ROOT=$(cd "$HERE/../.." && pwd)
BIN=$ROOT/target/review-2
RECORD=$HERE/record.txt
TMP=$(mktemp -d)
# ports_free FIRST: nothing uses the 50 ports from FIRST
ports_free() {
	for p in $(seq "$1" $(($1 + 49))); do
		grep -qi "$(printf '^ *[0-9]*: [0-9A-F]*:%04X ' "$p")" /proc/net/tcp && return 1
	done
	return 0
}
BASE=$((20000 + $$ % 200 * 50))
until ports_free $BASE; do BASE=$((20000 + (BASE - 20000 + 50) % 10000)); done
STORE=$((BASE + 1))
PIDS=
cd "$ROOT" || exit 2
for f in target/mimosalead "$BIN/platform" "$BIN/worker" "$BIN/call"; do
	[ -x "$f" ] || { echo "$f is not built"; exit 2; }
done
: >"$RECORD"

finish() {
	for p in $PIDS; do kill -CONT "$p" 2>/dev/null; kill -KILL "$p" 2>/dev/null; done
	wait 2>/dev/null
	[ -z "${KEEP:-}" ] || cp "$TMP"/* "$KEEP"
	rm -rf "$TMP"
}
trap finish EXIT
trap 'exit 2' INT TERM

now_ms() { echo $(($(date +%s%N) / 1000000)); }
# The clock of the record, in steps of 10 ms
up_ms() { awk '{ printf "%.0f", $1 * 1000 }' /proc/uptime; }
say() { echo "script: $*" >>"$RECORD"; }
pause() { sleep "$1"; }
# need PID...: the case cannot be judged where one of these has ended by itself
need() { kill -0 "$@" 2>/dev/null || { echo "a stand-in has ended by itself"; exit 2; }; }
control() { "$BIN/call" - "$@" >/dev/null; }

# port_of N: the port of worker N
port_of() { echo $((BASE + 10 + $1)); }

start_platform() {
	"$BIN/platform" "127.0.0.1:$STORE" "$RECORD" 2>"$TMP/platform.log" &
	PIDS="$PIDS $!"
	pause 0.5
}

# start_worker N POOL KIND RACK CPU [BORN-OFFSET-MS [PORT]]; sets WORKER_PID
# Its entry names its own port, which differs from PORT where a link is between.
start_worker() {
	"$BIN/worker" "w-$1" "$2" "127.0.0.1:${7:-$(port_of "$1")}" "127.0.0.1:$STORE" \
	    "$3" "$4" "$5" "$RECORD" "${6:-0}" "$(port_of "$1")" 2>/dev/null &
	WORKER_PID=$!
	PIDS="$PIDS $WORKER_PID"
}

# daemon_settings N FILE
daemon_settings() {
	cat >"$2" <<END
{"node":"edge-$1","role":"scheduler","machineClass":"edge","serves":["edge"],
"ip":"127.0.0.1","zone":"z","region":"r","zones":{"z":"r"},
"listen":{"front":"127.0.0.1:$((BASE + 30 + $1))","ready":"127.0.0.1:$((BASE + 35 + $1))"},
"portRange":[$((BASE + 40 + $1)),$((BASE + 40 + $1))],"seeds":[],"bootstrap":true,
"limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1500,
"contracts":["base","drain","config","cost","recover","sched","platform","upkeep","sharing"],
"bounds":{"contactMs":3000,"ackMs":4000,"drainMs":2000,"graceS":6,"configApplyMs":2000,
"holdMaxMs":6000,"stopTimeoutMs":200,"gangTimeoutMs":3000,"cancel_ms":3000,"visible_ms":3000,
"early_ms":250,"finish_s":14,"status_s":120,"remoteFactor":3,"checkpointS":0.5,"restoreMs":600,
"noticeMs":4500,"migrateS":1.5,"maintenanceS":2,"requireFencing":true,"leaseMs":3000,
"thawSlackMs":300,"paceMs":100,"harmMs":4000},
"orders":"invoke",
"platform":{"addr":"127.0.0.1:$STORE","form":"log","writesPerS":800,"readsPerS":2000,"parts":8,
"appendMs":4.0,"recordBytes":8192,"requestBytes":16384,"keep_s":300,"ttlMinMs":1000},
"cloudApi":{"addr":"127.0.0.1:$STORE","ratePerS":64.0,"duties":[],"dutyPerS":64.0}}
END
}

# start_daemon N; sets DAEMON_PID
start_daemon() {
	daemon_settings "$1" "$TMP/boot-$1.json"
	MIMOSALEAD_SETTINGS=$TMP/boot-$1.json target/mimosalead schedule \
	    >"$TMP/edge-$1.log" 2>&1 &
	DAEMON_PID=$!
	PIDS="$PIDS $DAEMON_PID"
}
front_of() { echo $((BASE + 30 + $1)); }

# ask METHOD DAEMON PATH [BODY]: prints status and body, and records them
ask() {
	"$BIN/call" "$RECORD" "$1" "$(front_of "$2")" "$3" "${4:-}"
}

# publish_config JSON
publish_config() {
	control POST "$STORE" "/fleet/put?topic=keyed.op&key=config" "$1"
}

# machine N POOL: of worker N
machine() {
	control POST "$STORE" "/fleet/machine?name=m-$1&pool=$2&worker=w-$1"
}
