#!/bin/sh
# A queue is given to another service; a repeat of an accepted request comes
# seconds after its 2xx.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-4.sh"

services='"services":[{"name":"blue","admissionControl":true},{"name":"green","admissionControl":true}]'
route='"host":"jobs.example","pathPrefix":"/seats/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"maxAttempts":3,"stretch":1.6'
begin 262144 2097152 "{\"configVersion\":4,\"routes\":[{\"name\":\"seats\",$route,\"service\":\"blue\"}],$services}" \
	blue-0:blue:a:r-0:64000 blue-1:blue:a:r-1:64000 \
	green-0:green:a:r-2:64000 green-1:green:a:r-3:64000

job=00000000000000b1
body='{"taskSpec":"ms:300","steps":[{"count":4,"cpu":500,"memMb":100,"estimateMs":300}]}'
first=$(client POST 1 /seats/$job "$body")
sleep 1.5
before=$(client GET 1 /seats/$job)
done_before=$(figure "$(ctl "stats?job=$job")" done)
if [ "$TROUBLE" != 0 ]; then
	say "disruption: version 7 removes the route to blue and adds one to green"
	ctl config "{\"configVersion\":7,\"routes\":[{\"name\":\"seats-2\",$route,\"service\":\"green\"}],$services}" >/dev/null
fi
# beyond configApplyMs and visible_ms
sleep 3.5
state=$(client GET 2 /seats/$job)
repeat=$(client POST 2 /seats/$job "$body")
sleep 2
figures=$(ctl "stats?job=$job")
say "first: $first; its state: $before; tasks done: $done_before"
say "state asked for later: $state; the repeat: $repeat"
say "figures: $figures"
[ "${first%% *}" = 200 ] && [ "$done_before" = 4 ] || verdict 2
if [ "$(figure "$figures" again)" != 0 ]; then
	say "TWICE: tasks started after their runs had ended done"
	verdict 1
fi
if [ "${state%% *}" = 410 ]; then
	say "LOST: 410 for an accepted job that nobody has cancelled"
	verdict 1
fi
verdict 0
