#!/bin/sh
# The owner of a pool is killed while the progress of a large job does not fit
# into one record of the store.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-4.sh"

# the limits of examples/jobs
begin 8192 16384 '{"configVersion":1,"routes":[{"name":"seats","host":"jobs.example","pathPrefix":"/seats/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"blue","maxAttempts":3,"stretch":1.6}],"services":[{"name":"blue","admissionControl":true}]}' \
	blue-0:blue:a:r-0:64000 blue-1:blue:a:r-1:64000 blue-2:blue:a:r-2:64000 \
	blue-3:blue:a:r-3:64000

job=00000000000000c1
# 1,600 tasks that save checkpoints: 300 take 3 s, the others 20 s
first=$(client POST 1 /seats/$job '{"taskSpec":"saves;ms:20000;first:300;firstms:3000","steps":[{"count":1600,"cpu":100,"memMb":10,"estimateMs":20000,"checkpointing":true}]}')
[ "${first%% *}" = 200 ] || verdict 2
# other callers' small jobs come meanwhile
sleep 5
for i in 1 2 3 4; do
	client POST 1 /seats/00000000000000d$i '{"taskSpec":"ms:200","steps":[{"count":1,"cpu":100,"memMb":10,"estimateMs":200}]}' >/dev/null
	sleep 0.3
done
n=0
until [ "$(figure "$(ctl "stats?job=$job")" acknowledged)" = 300 ]; do
	n=$((n + 1))
	[ $n -lt 75 ] || {
		say "the short tasks were not acknowledged"
		say "figures: $(ctl "stats?job=$job")"
		verdict 2
	}
	sleep 0.2
done
sleep 1
say "figures: $(ctl "stats?job=$job")"
owner=$(holder 0)
if [ "$TROUBLE" != 0 ]; then
	eval "pid=\$daemon_$owner"
	say "disruption: SIGKILL to daemon $owner, the owner of the pool"
	kill -9 "$pid"
fi
sleep 12
figures=$(ctl "stats?job=$job")
say "figures: $figures"
dropped=$(cat "$dir"/edge-*.log | grep -c "record over the store's size limit")
say "log lines on records left out: $dropped"
if [ "$(figure "$figures" again)" != 0 ]; then
	say "TWICE: tasks started after their runs had ended done and were taken note of"
	verdict 1
fi
verdict 0
