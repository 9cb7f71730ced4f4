#!/bin/sh
# A start is held up until its worker has crashed and is back; its task has been
# started again meanwhile and is done.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-4.sh"

begin 262144 2097152 '{"configVersion":1,"routes":[{"name":"seats","host":"jobs.example","pathPrefix":"/seats/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"blue","maxAttempts":3,"stretch":1.6}],"services":[{"name":"blue","admissionControl":true}]}' \
	blue-0:blue:a:r-0:64000 blue-1:blue:a:r-0:64000 blue-2:blue:a:r-1:64000 \
	blue-3:blue:a:r-1:64000 blue-4:blue:a:r-2:64000 blue-5:blue:a:r-2:64000 \
	blue-6:blue:a:r-3:64000 blue-7:blue:a:r-3:64000

job=00000000000000e1
if [ "$TROUBLE" != 0 ]; then
	say "disruption: the next start gets no answer and arrives late"
	ctl "hold-up?after_ms=10" >/dev/null
fi
first=$(client POST 1 /seats/$job '{"taskSpec":"ms:800","steps":[{"count":1,"cpu":2000,"memMb":100,"estimateMs":800}]}')
sleep 3.5
worker=$(ctl held-up)
state=$(client GET 1 /seats/$job)
before=$(ctl "stats?job=$job")
say "first: $first; state: $state; figures: $before; held up at: $worker"
case $state in
*completed*) ;;
*) verdict 2 ;;
esac
if [ "$TROUBLE" != 0 ]; then
	say "disruption: worker $worker, one of eight, crashes and is back after 1.55 s"
	ctl "crash?id=$worker&back_ms=1550" >/dev/null
fi
sleep 4
figures=$(ctl "stats?job=$job")
say "figures: $figures"
if [ "$TROUBLE" != 0 ] && ! grep -q 'arrives late' "$record"; then
	say "the start that was held up has not arrived"
	verdict 2
fi
if [ "$(figure "$figures" again)" != 0 ]; then
	say "TWICE: a start after the run had ended done and was taken note of"
	verdict 1
fi
verdict 0
