#!/bin/sh
# A configuration gives a queue to another service.  A repeat of an accepted
# request comes seconds after its 2xx, and a job that lasts is cancelled.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-4.sh"

config() { # VERSION SERVICE
	echo '{"configVersion":'"$1"',"routes":[{"name":"seats","host":"jobs.example","pathPrefix":"/seats/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"'"$2"'","maxAttempts":3,"stretch":1.6}],"services":[{"name":"blue","admissionControl":true},{"name":"green","admissionControl":true}]}'
}

begin 262144 2097152 "$(config 4 blue)" \
	blue-0:blue:a:r-0:64000 blue-1:blue:a:r-1:64000 \
	green-0:green:a:r-2:64000 green-1:green:a:r-3:64000

job=00000000000000b1
lasting=00000000000000b2
body='{"taskSpec":"ms:300","steps":[{"count":4,"cpu":500,"memMb":100,"estimateMs":300}]}'
first=$(client POST 1 /seats/$job "$body")
second=$(client POST 1 /seats/$lasting '{"taskSpec":"lasts","steps":[{"count":2,"cpu":500,"memMb":100,"longRunning":true}]}')
sleep 1.5
before=$(client GET 1 /seats/$job)
done_before=$(figure "$(ctl "stats?job=$job")" acknowledged)
if [ "$TROUBLE" != 0 ]; then
	say "disruption: version 7 gives the queue to service green"
	ctl config "$(config 7 green)" >/dev/null
fi
# beyond configApplyMs and visible_ms
sleep 3.5
state=$(client GET 2 /seats/$job)
repeat=$(client POST 2 /seats/$job "$body")
cancel=$(client DELETE 2 /seats/$lasting)
# beyond cancel_ms and stopTimeoutMs
sleep 4.5
figures=$(ctl "stats?job=$job")
running=$(figure "$(ctl "stats?job=$lasting")" running)
say "first: $first; its state: $before; ends acknowledged: $done_before; the lasting job: $second"
say "state asked for later: $state; the repeat: $repeat"
say "figures: $figures"
say "cancel of the lasting job: $cancel; its tasks that run 4.5 s after that: $running"
[ "${first%% *}" = 200 ] && [ "${second%% *}" = 200 ] && [ "$done_before" = 4 ] || verdict 2
code=0
if [ "$(figure "$figures" again)" != 0 ]; then
	say "TWICE: tasks started after their runs had ended done"
	code=1
fi
if [ "${state%% *}" = 410 ]; then
	say "LOST: 410 for an accepted job that nobody has cancelled"
	code=1
fi
if [ "$running" != 0 ]; then
	say "UNASKED: tasks run on after the cancel was acknowledged with ${cancel%% *}"
	code=1
fi
verdict $code
