#!/bin/sh
# A wave of upkeep with one machine at once.  An order for upkeep gets no answer
# and is carried out 4.5 s later; the daemon that gave it is killed right after
# it.  Exits with 1 if an upkeep begins while another machine of the wave is down
# for its own.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../fleet/lib.sh"
LATE_MS=${LATE_MS:-4500}
start_platform
for i in 1 2 3; do
	machine $i blue
	start_worker $i blue plain rack-$i 8000
	eval "worker_$i=$WORKER_PID"
done
for i in 4 5; do
	machine $i green
	start_worker $i green plain rack-$i 8000
	eval "worker_$i=$WORKER_PID"
done
for i in 6 7; do
	control POST "$STORE" "/fleet/machine?name=m-$i&pool=idle"
done
start_daemon 1
daemon_1=$DAEMON_PID
pause 0.3
start_daemon 2
daemon_2=$DAEMON_PID
publish_config '{"configVersion":1,"routes":[{"name":"seats","host":"jobs.example","pathPrefix":"/seats/","service":"blue","maxAttempts":3,"stretch":1.6,"targetLatencyMs":600},{"name":"crates","host":"jobs.example","pathPrefix":"/crates/","service":"green","maxAttempts":3,"stretch":1.6,"targetLatencyMs":600}],"services":[{"name":"blue","admissionControl":true},{"name":"green","admissionControl":true},{"name":"idle","spare":true}]}'
pause 4
case $(ask POST 1 /seats/00000000000000d1 '{"taskSpec":"lasts","steps":[{"count":1,"cpu":1000,"memMb":100,"longRunning":true,"mayMiss":1}]}') in
2*) ;;
*) say "the job was not accepted"; exit 2 ;;
esac
pause 2
[ "$TROUBLE" = 0 ] || control POST "$STORE" "/fleet/late?ms=$LATE_MS"
say "the operator asks for upkeep of m-1, m-2 and m-3, one at once"
control POST "$STORE" "/fleet/put?topic=keyed.op&key=wave/1" '{"wave":1,"machines":["m-1","m-2","m-3"],"withinS":30,"cap":1}'

# life N POOL SECONDS: what runs on machine N ends; a new worker joins later
life() {
	eval "kill -KILL \$worker_$1 2>/dev/null; lives_$1=\$((\${lives_$1:-0} + 1))"
	eval "id=$1-\$lives_$1"
	control POST "$STORE" "/fleet/machine?name=m-$1&worker=$([ "$2" = idle ] || echo "w-$id")"
	[ "$2" != idle ] || return
	(
		pause "$3"
		exec "$BIN/worker" "w-$id" "$2" "127.0.0.1:$(port_of "$1")" \
		    "127.0.0.1:$STORE" plain "rack-$1" 8000 "$RECORD" 2>/dev/null
	) &
	PIDS="$PIDS $!"
	eval "worker_$1=$!"
}

killed=0
taken=0
for tick in $(seq 1 240); do
	pause 0.05
	grep ' platform begins ' "$RECORD" >"$TMP/begun"
	while [ "$taken" -lt "$(wc -l <"$TMP/begun")" ]; do
		taken=$((taken + 1))
		line=$(sed -n "${taken}p" "$TMP/begun")
		n=$(echo "$line" | sed 's/.* m-\([0-9]*\) .*/\1/')
		pool=$(echo "$line" | sed 's/.* pool \([a-z]*\) .*/\1/')
		case $line in
		*upkeep*) life "$n" "$pool" 2 ;;
		*) life "$n" "$pool" 1.5 ;;
		esac
	done
	holder=$(sed -n 's/.*unanswered upkeep .* holder edge-//p' "$RECORD")
	if [ "$killed" = 0 ] && [ -n "$holder" ]; then
		say "daemon edge-$holder is killed"
		eval "kill -KILL \$daemon_$holder"
		killed=1
	fi
done
# "begins upkeep" lines: begin, and the end that they name
over=$(sed -n 's/^\([0-9]*\) platform begins upkeep \([^ ]*\) .* until \([0-9]*\)$/\1 \2 \3/p' "$RECORD" |
	awk '{ for (m in end) if (m != $2 && end[m] > $1) n++; end[$2] = $3 } END { print n + 0 }')
say "upkeeps that began while another machine of the wave was down: $over"
[ "$over" = 0 ] && { echo "rule held"; exit 0; }
echo "LIMIT: $over upkeeps began while cap = 1 machine of the wave was down"
exit 1
