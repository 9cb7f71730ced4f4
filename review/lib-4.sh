# Functions of the scripts review/16 to review/20.  A script sets "here" (its
# folder), sources this file, calls begin with the limits of the store and its
# workers, and ends with "verdict CODE".  Everything listens on 127.0.0.1.

root=$(cd "$here/../.." && pwd)
tools=$root/target/review-4
TROUBLE=${TROUBLE:-1}
record=$here/record.txt
dir=$(mktemp -d)
pids=

say() {
	echo "$(date +%s.%3N) $*" >>"$record"
	echo "$*"
}

# Ends what this script has started, by its ids.
clean() {
	for pid in $pids; do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap clean EXIT
trap 'exit 2' INT TERM HUP

verdict() {
	say "verdict: exit $1"
	exit "$1"
}

call() {
	"$tools/call" "$@"
}

# ctl PATH?QUERY [BODY]: the stand-in's side that is for the script.
ctl() {
	if [ $# -gt 1 ]; then
		call POST "$platform" "/ctl/$1" world "$2"
	else
		call GET "$platform" "/ctl/$1" world
	fi | sed 's/^200 //'
}

# A figure out of "name=value name=value".
figure() {
	echo "$1" | tr ' ' '\n' | sed -n "s/^$2=//p"
}

settings() { # FILE NAME FRONT READY PEER
	cat >"$1" <<-EOF
	{"node": "$2", "zone": "z", "region": "r", "ip": "127.0.0.1",
	 "role": "scheduler", "machineClass": "edge", "serves": ["edge"],
	 "listen": {"front": "127.0.0.1:$3", "ready": "127.0.0.1:$4"},
	 "portRange": [$5, $5], "bootstrap": true, "heartbeatMs": 1000,
	 "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "linkMbps": 1000.0},
	 "bounds": {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6,
	  "configApplyMs": 2000, "maxStretchMs": 5000, "recoveryS": 12,
	  "holdMaxMs": 6000, "stopTimeoutMs": 200, "gangTimeoutMs": 3000,
	  "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
	  "status_s": 120, "remoteFactor": 3, "checkpointS": 0.5, "restoreMs": 600,
	  "noticeMs": 4500, "migrateS": 1.5, "maintenanceS": 2,
	  "requireFencing": true, "leaseMs": 3000, "harmMs": 4000},
	 "orders": "invoke",
	 "platform": {"addr": "127.0.0.1:$platform", "form": "log",
	  "writesPerS": 800, "readsPerS": 2000, "parts": 8, "recordBytes": $record_bytes,
	  "requestBytes": $request_bytes, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000},
	 "cloudApi": {"addr": "127.0.0.1:$platform", "ratePerS": 64.0, "dutyPerS": 64.0}}
	EOF
}

# The command of deploy/system.toml, with the settings that the platform names.
start_daemon() { # NUMBER
	(cd "$root" && MIMOSALEAD_SETTINGS=$dir/edge-$1.json \
		exec target/mimosalead schedule) >>"$dir/edge-$1.log" 2>&1 &
	pids="$pids $!"
}

# begin RECORD_BYTES REQUEST_BYTES CONFIG WORKER...; a worker is
# ID:SERVICE:KIND:RACK:CPU.  Starts the platform, its workers and two daemons.
begin() {
	: >"$record"
	record_bytes=$1 request_bytes=$2 config=$3
	shift 3
	[ -x "$tools/world" ] && [ -x "$root/target/mimosalead" ] || {
		say "not built: the build of the deploy file, then review/build-4.sh"
		verdict 2
	}
	say "TROUBLE=$TROUBLE"
	count=$#
	set -- "$@" $(call ports $((7 + count)))
	workers=
	i=0
	while [ $i -lt $count ]; do
		spec=$1
		shift
		set -- "$@" "$spec"
		i=$((i + 1))
	done
	# now: ports first, then the workers
	platform=$1 front_1=$2 ready_1=$3 peer_1=$4 front_2=$5 ready_2=$6 peer_2=$7
	shift 7
	ports=
	i=0
	while [ $i -lt $count ]; do
		ports="$ports $1"
		shift
		i=$((i + 1))
	done
	for port in $ports; do
		workers="$workers $port:$1"
		shift
	done
	"$tools/world" "$record" "$platform" "$record_bytes" "$request_bytes" \
		$workers 2>>"$dir/world.log" &
	world=$!
	pids="$pids $world"
	settings "$dir/edge-1.json" edge-1 "$front_1" "$ready_1" "$peer_1"
	settings "$dir/edge-2.json" edge-2 "$front_2" "$ready_2" "$peer_2"
	sleep 0.3
	ctl config "$config" >/dev/null
	start_daemon 1
	start_daemon 2
	n=0
	until [ "$(call GET "$ready_1" /readiness x)" = "200 " ] &&
		[ "$(call GET "$ready_2" /readiness x)" = "200 " ]; do
		n=$((n + 1))
		[ $n -lt 50 ] || {
			say "the daemons are not ready"
			verdict 2
		}
		sleep 0.2
	done
	sleep 3
	say "two daemons are ready"
}

# client METHOD DAEMON PATH [BODY]: prints and records status and body.
client() {
	eval "port=\$front_$2"
	answer=$(call "$1" "$port" "$3" "${host:-jobs.example}" ${4:+"$4"})
	say "client: $1 ${host:-jobs.example}$3 at daemon $2 ${4:+body $4 }-> $answer" >/dev/null
	echo "$answer"
}
