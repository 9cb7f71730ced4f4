#!/bin/sh
# A configuration adds a route whose name has 52 characters (7 with TROUBLE=0).
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib-4.sh"

route='"routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":600,"priority":0,"service":"blue","maxAttempts":3,"stretch":1.6'
old='{"name":"seats","host":"jobs.example","pathPrefix":"/seats/",'$route'}'
services='"services":[{"name":"blue","admissionControl":true}]'
begin 262144 2097152 '{"configVersion":4,"routes":['"$old"'],'"$services"'}' \
	blue-0:blue:a:r-0:64000 blue-1:blue:a:r-1:64000

name=northern-academy-cosmetology-seat-reservation-checks
[ "$TROUBLE" = 0 ] && name=academy
say "disruption: version 7 adds the route $name (${#name} characters)"
ctl config '{"configVersion":7,"routes":['"$old"',{"name":"'$name'","host":"jobs.example","pathPrefix":"/checks/",'"$route"'}],'"$services"'}' >/dev/null
# beyond configApplyMs
sleep 3.5
body='{"taskSpec":"ms:300","steps":[{"count":2,"cpu":500,"memMb":100,"estimateMs":300}]}'
one=$(client POST 1 /checks/00000000000000a1 "$body")
two=$(client POST 2 /checks/00000000000000a2 "$body")
old_one=$(client POST 1 /seats/00000000000000a3 "$body")
sleep 2
say "the new route at both daemons: $one, $two; the old one: $old_one"
say "versions that the logs name: $(cat "$dir"/edge-*.log | grep -o 'configuration in force" version=[0-9]* before=[-0-9]* queues=[0-9]*' | sort | uniq -c | tr -s ' \n' ' ')"
[ "${old_one%% *}" = 200 ] || verdict 2
if [ "${one%% *}" = 404 ] || [ "${two%% *}" = 404 ]; then
	say "CONFIG: refused with 404 though the route is there"
	verdict 1
fi
[ "${one%% *}" = 200 ] && [ "${two%% *}" = 200 ] || verdict 2
verdict 0
