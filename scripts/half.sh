#!/usr/bin/env bash
# Runs one half at today's size under load through planned changes and
# failures, and prints the verdict. Usage: half.sh koysipaja|utility
set -euo pipefail
cd "$(dirname "$0")/.."
half=${1:?name of the half}
work=${work:?directory for inputs and logs}/$half
mkdir -p "$work"
began=${EPOCHREALTIME/./}
. scripts/local.sh
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# kill, stop and outage are the instances to kill, to stop gracefully and to
# restart during the outage of the object API. domain is the failure domain to
# take out, server the backend server to set to leaving, and cold the identifier
# of the server to put into cold start without a restart. big and small are the
# services with 14 and 4 servers.
#
# The sample settings have cold starts of up to 90 s in each stage, and tickets
# of 30 s, for which a stopping instance waits. The copy uses 2 s and 6 s, so
# that every step fits into the run. Empty values make the failure domains
# inherit the cold time.
sets=(/:coldTime=2s /:ticketTime=6s)
case $half in
koysipaja)
  net=20 kill=fi-south-a-1 stop=fi-south-b-1 outage=fi-south-c-2
  domain=fi-south-d server=order-02 cold=20001 big=order small=intake
  sets+=(/koysipaja/order/fi-south-a:coldTime= /koysipaja/order/fi-south-d:coldTime= /koysipaja/intake/fi-south-d:coldTime=)
  ;;
utility)
  net=30 kill=bole-1 stop=kirkos-1 outage=bole-2
  domain=yeka server=ledger-02 cold=30001 big=ledger small=archive
  sets+=(/utility/ledger/bole:coldTime= /utility/ledger/yeka:coldTime= /utility/archive/yeka:coldTime=)
  ;;
*) echo "half $half is unknown" >&2 && exit 2 ;;
esac
prepare_settings "samples/$half.json" "$net" "${sets[@]}"
start_half
await_settings
log "${#entries[@]} instances have the settings"

# At 80 requests per second, a server put into cold start without a restart got
# no second request during its cold start in two runs, so the runs did not test
# whether instances detect the cold start.
start_load "$big" 70 --flows 60 --rate "${DEMO_RATE:-240}" --answer 4096 --once 0.5 --seed 1 --open-tries 20
start_load "$small" 70 --flows 20 --rate 10 --answer 60000 --once 0.5 --seed 2 --open-tries 20
interruptible_sleep 8
take_sample

log "edit a setting, follow it with watch"
run_interruptible "$bin/ebonyctl" node set "/$half/$big" attemptTime=900ms --no-wait --output json >"$work/edit.json"
[[ $(<"$work/edit.json") =~ \"rev\":\ *([0-9]+) ]]
timed_edit watch watch "${BASH_REMATCH[1]}"

log "kill $kill"
kill_instance "$kill"
interruptible_sleep 4
replace_instance "$kill"
interruptible_sleep 6

log "stop $stop gracefully"
stop_instance "$stop"
start_instance "$stop"
record_event started "$stop"

log "server $server leaves"
record_event leave "$server"
timed_edit server-leave server leave "$server"
interruptible_sleep 4
take_sample
interruptible_sleep 3
take_sample
record_event return "$server"
timed_edit server-return server return "$server"

log "server $cold falls into cold start"
# Instances detect the cold start only when the server sheds requests, so it must
# be able to shed some without falling over: 6, as many as its two slots hold
# with two waiting requests each.
record_event cold "$cold"
post_json "http://$records/command" "{\"server\":$cold,\"do\":\"cold\",\"margin\":6}"
interruptible_sleep 3

log "domain $domain out"
record_event out "$domain"
timed_edit domain-out domain out "$domain"
interruptible_sleep 7
take_sample
log "domain $domain back"
record_event back "$domain"
timed_edit domain-in domain in "$domain"
interruptible_sleep 3

log "object API down, $outage restarts"
record_event down
post_json "http://$api/fault" '{"down":true}'
interruptible_sleep 1
kill_instance "$outage"
interruptible_sleep 1
replace_instance "$outage"
interruptible_sleep 4
post_json "http://$api/fault" '{}'
record_event up
interruptible_sleep 2
log "edit a setting"
timed_edit setting node set "/$half/$big" attemptTime=800ms

reap "load-$big" || true
reap "load-$small" || true
take_sample
log "done"
exp=()
for kind in kill stop leave cold out down force; do exp+=(--expect "$kind"); done
"$bin/ebonyemu" verdict --settings "$settings" --servers "$work/servers.json" --samples "$samples" --events "$events" \
  --report "$big=$work/load-$big.out" --report "$small=$work/load-$small.out" "${exp[@]}" >"$work/verdict.txt"
