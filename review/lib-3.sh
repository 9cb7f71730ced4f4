# Functions of the scripts in review/11, review/13 and review/14.  Sourced with the
# case's folder in CASE.  Needs bash and no curl: requests go through /dev/tcp.
ROOT=$(cd "$CASE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
HOST=127.0.0.1
WORK=$(mktemp -d)
RECORD=$CASE/record.txt
PIDS=()
: >"$RECORD"

# Milliseconds of the day's clock.
now_ms() {
	local t=$EPOCHREALTIME
	echo $((${t/[.,]/} / 1000))
}

note() {
	echo "$(now_ms) $*" | tee -a "$RECORD"
}

cleanup() {
	local p
	# a process that restarts daemons ends first
	[ -z "${WATCHER:-}" ] || { kill -KILL "$WATCHER" && wait "$WATCHER"; } 2>/dev/null
	for p in "${PIDS[@]}" $(cat "$WORK/pids" 2>/dev/null); do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap cleanup EXIT

could_not_run() {
	note "could not run: $*"
	exit 2
}

port_is_free() {
	! (exec 3<>"/dev/tcp/$HOST/$1") 2>/dev/null
}

# Sets BASE to the first of $1 free ports that follow each other.
free_ports() {
	local try i
	for try in 1 2 3 4 5 6 7 8 9 10; do
		BASE=$((20000 + RANDOM % 10000))
		for ((i = 0; i < $1; i++)); do
			port_is_free $((BASE + i)) || continue 2
		done
		return
	done
	could_not_run "no free ports"
}

# http METHOD PORT PATH [BODY]: sets STATUS ("" without an answer) and ANSWER.
http() {
	local fd line length=0
	STATUS='' ANSWER=''
	exec {fd}<>"/dev/tcp/$HOST/$2" 2>/dev/null || return
	printf '%s %s HTTP/1.1\r\nHost: jobs.example\r\nConnection: close\r\nContent-Type: application/json\r\nMimosalead-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s' \
		"$1" "$3" "${#4}" "${4:-}" >&"$fd" 2>/dev/null
	if read -r -t 4 -u "$fd" line; then
		line=${line%$'\r'}
		STATUS=${line#* }
		STATUS=${STATUS%% *}
		while read -r -t 2 -u "$fd" line && line=${line%$'\r'} && [ -n "$line" ]; do
			case ${line,,} in content-length:*) length=${line#*: } ;; esac
		done
		[ "$length" -gt 0 ] && read -r -t 2 -u "$fd" -N "$length" ANSWER
	fi
	exec {fd}>&-
}

# The settings of daemon $1, as in DEPLOY.md, with the bounds of aulasbellas.
write_settings() {
	cat >"$WORK/boot-$1.json" <<T
{"node":"edge-$1","role":"scheduler","machineClass":"edge","serves":["edge"],
"ip":"$HOST","zone":"z","region":"r","zones":{"z":"r"},
"listen":{"front":"$HOST:$((BASE + 10 + $1))","ready":"$HOST:$((BASE + 20 + $1))"},
"portRange":[$((BASE + 30 + $1)),$((BASE + 30 + $1))],"seeds":[],"bootstrap":true,
"limits":{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1500,
"bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,
"recoveryS":12,"holdMaxMs":6000,"stopTimeoutMs":200,"gangTimeoutMs":3000,"cancel_ms":3000,
"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"remoteFactor":3,"checkpointS":0.5,
"restoreMs":600,"noticeMs":4500,"migrateS":1.5,"maintenanceS":2,"requireFencing":true,
"leaseMs":3000,"thawSlackMs":300,"paceMs":100,"harmMs":4000},
"orders":"invoke","advice":"$HOST:$BASE",
"platform":{"addr":"$HOST:$BASE","form":"log","writesPerS":800,"readsPerS":2000,"parts":8,
"appendMs":4.0,"partitionMbS":20.0,"readMbS":80.0,"recordBytes":262144,"requestBytes":2097152,
"keep_s":300,"partMb":200,"ttlMinMs":1000},
"cloudApi":{"addr":"$HOST:${CLOUD_PORT:-$BASE}","ratePerS":64.0,"duties":[],"dutyPerS":64.0}}
T
}

front() { echo $((BASE + 10 + $1)); }

# Starts daemon $1; its process is DAEMON[$1].
start_daemon() {
	(cd "$ROOT" && MIMOSALEAD_SETTINGS=$WORK/boot-$1.json exec target/mimosalead schedule) \
		>>"$WORK/daemon-$1.log" 2>&1 &
	DAEMON[$1]=$!
	echo "$!" >>"$WORK/pids"
}

# start_platform WORKERS TASK_MS: the stand-in of the platform, with two pools.
start_platform() {
	[ -x "$ROOT/target/standin-jobs" ] || could_not_run "target/standin-jobs is not built"
	[ -x "$ROOT/target/mimosalead" ] || could_not_run "target/mimosalead is not built"
	free_ports 40
	"$ROOT/target/standin-jobs" -l "$HOST:$BASE" --workers "$1" --task-ms "$2" \
		--log "$WORK/workers.log" >"$WORK/platform.log" 2>&1 &
	PIDS+=($!)
	local i
	for ((i = 0; i < 50; i++)); do
		port_is_free "$BASE" || break
		sleep 0.1
	done
	http POST "$BASE" '/put?topic=keyed.op&key=config' "$CONFIG"
	[ "$STATUS" = 200 ] || could_not_run "the platform does not take the configuration"
}

# start_machines SPARE: the stand-in of the machine service, with machines of a
# spare pool beside those of two workers of each pool.
start_machines() {
	local i
	[ -x "$ROOT/target/review-machines" ] || could_not_run "target/review-machines is not built"
	CLOUD_PORT=$((BASE + 1))
	"$ROOT/target/review-machines" -l "$HOST:$CLOUD_PORT" --workers 2 --spare "$1" \
		--log "$WORK/machines.log" >"$WORK/cloud.log" 2>&1 &
	PIDS+=($!)
	for ((i = 0; i < 50; i++)); do
		port_is_free "$CLOUD_PORT" || return
		sleep 0.1
	done
	could_not_run "the machine service does not start"
}

# start_daemons N: and waits until each is ready and the pools have owners.
start_daemons() {
	local i k
	for ((i = 1; i <= $1; i++)); do
		write_settings "$i"
		start_daemon "$i"
	done
	for ((k = 0; k < 100; k++)); do
		sleep 0.1
		http GET "$(front 1)" /seats/0000000000000001
		[ "$STATUS" = 410 ] || continue
		http GET "$(front "$1")" /crates/0000000000000001
		[ "$STATUS" = 410 ] && break
	done
	[ "$STATUS" = 410 ] || could_not_run "no pool has an owner after 10 s"
	sleep 3
}

CONFIG='{"configVersion":1,"routes":[
{"name":"seats","host":"jobs.example","pathPrefix":"/seats/","service":"blue","maxAttempts":3,"stretch":1.6,"targetLatencyMs":600},
{"name":"crates","host":"jobs.example","pathPrefix":"/crates/","service":"green","priority":1,"maxAttempts":2,"stretch":2,"targetLatencyMs":600}],
"services":[{"name":"blue","admissionControl":true},{"name":"green","admissionControl":true},{"name":"off","admissionControl":true,"spare":true}]}'

# The operator's request op/wave/$1 for machines $2 (JSON), at most $3 at once.
put_wave() {
	http POST "$BASE" "/put?topic=keyed.op&key=wave/$1" "{\"wave\":$1,\"machines\":$2,\"withinS\":30,\"cap\":$3}"
	[ "$STATUS" = 200 ] || could_not_run "the wave cannot be written"
	note "op/wave/$1: machines $2, cap $3"
}

# Prints what the operator reads as status/wave/$1.
wave_status() {
	http GET "$BASE" '/log-newest?topic=keyed.status&part=0'
	case $ANSWER in
	*"\"key\":\"wave/$1\""* | *"\"key\":\"wave\\/$1\""* | *"\"key\": \"wave/$1\""*)
		printf '%s' "$ANSWER" | tr '{' '\n' | grep "wave[\\]*/$1\"" |
			sed 's/.*"value": *"\([^"]*\)".*/\1/; s#\\/#/#g' | base64 -d
		;;
	esac
}

# hand_in DAEMON PATH JOB: like a sound client, again after no answer, a 502 or a 504.
hand_in() {
	local try
	for try in 1 2 3 4 5; do
		http POST "$(front $((($1 + try - 2) % DAEMONS + 1)))" "$2" "$3"
		note "POST $2 try $try -> ${STATUS:-no answer}"
		case $STATUS in '' | 502 | 504) sleep 0.3 ;; *) return ;; esac
	done
}
