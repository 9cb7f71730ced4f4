#!/bin/sh
# A wave of upkeep over the two idle machines of one pool, both at once.  0.1 s
# after it a job that lasts is handed in, and an ordinary one 4.5 s later.  Exits
# with 1 if the ordinary job has not run 20 s after that.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../fleet/lib.sh"
start_platform
for i in 1 2; do
	machine $i blue
	start_worker $i blue plain rack-$i 8000
	eval "worker_$i=$WORKER_PID"
done
for i in 4 5; do
	machine $i green
	start_worker $i green plain rack-$i 8000
	eval "worker_$i=$WORKER_PID"
done
start_daemon 1
start_daemon 2
publish_config '{"configVersion":1,"routes":[{"name":"seats","host":"jobs.example","pathPrefix":"/seats/","service":"blue","maxAttempts":3,"stretch":1.6,"targetLatencyMs":600},{"name":"crates","host":"jobs.example","pathPrefix":"/crates/","service":"green","maxAttempts":3,"stretch":1.6,"targetLatencyMs":600}],"services":[{"name":"blue","admissionControl":true},{"name":"green","admissionControl":true},{"name":"idle","spare":true}]}'
pause 5
if [ "$TROUBLE" != 0 ]; then
	say "the operator asks for upkeep of m-1 and m-2, two at once"
	control POST "$STORE" "/fleet/put?topic=keyed.op&key=wave/1" '{"wave":1,"machines":["m-1","m-2"],"withinS":30,"cap":2}'
fi

# life N POOL SECONDS: what runs on machine N ends; a new worker joins later
life() {
	eval "kill -KILL \$worker_$1 2>/dev/null; lives_$1=\$((\${lives_$1:-0} + 1))"
	eval "id=$1-\$lives_$1"
	control POST "$STORE" "/fleet/machine?name=m-$1&worker=w-$id"
	(
		pause "$3"
		exec "$BIN/worker" "w-$id" "$2" "127.0.0.1:$(port_of "$1")" \
		    "127.0.0.1:$STORE" plain "rack-$1" 8000 "$RECORD" 2>/dev/null
	) &
	PIDS="$PIDS $!"
	eval "worker_$1=$!"
}

taken=0
# follow MS: ends and starts workers as their machines' orders say
follow() {
	until=$(($(up_ms) + $1))
	while [ "$(up_ms)" -lt "$until" ]; do
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
	done
}

pause 0.1
case $(ask POST 1 /seats/0000000000000aa1 '{"taskSpec":"lasts","steps":[{"count":2,"cpu":1000,"memMb":100,"longRunning":true,"mayMiss":1,"antiAffinity":1}]}') in
2*) ;;
*) say "the job that lasts was not accepted"; exit 2 ;;
esac
follow 4500
case $(ask POST 1 /seats/0000000000000aa2 '{"taskSpec":"takes:500","steps":[{"count":1,"cpu":1000,"memMb":100,"estimateMs":500}]}') in
2*) ;;
*) say "the ordinary job was not accepted"; exit 2 ;;
esac
follow 20000
need $worker_1 $worker_2
state=$(ask GET 1 /seats/0000000000000aa2)
say "20 s later the ordinary job is shown as: $state"
case $state in
*completed*) echo "rule held"; exit 0 ;;
*queued* | *running*) echo "LOST: $state after 20 s"; exit 1 ;;
esac
echo "undecided: $state"
exit 2
