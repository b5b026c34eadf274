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

# The instances to kill, stop and restart during the outage, the failure
# domain to take out, the server to leave, the identifier of the server that
# falls into cold start, and the services with 14 and 4 hosts.
#
# The samples have cold starts of up to 90 s in each stage and tickets of 30 s,
# which a stopping instance waits for. The copy has 2 s and 6 s, so that every
# step fits into the run; failure domains inherit the cold time.
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
plan_half "samples/$half.json" "$net" "${sets[@]}"
start_half
await_force
say "${#entries[@]} instances have the settings"

# At 80 requests a second, a server that fell into cold start silently met no
# second request in two runs, so nothing had to detect the fall.
load "$big" 70 --flows 60 --rate "${DEMO_RATE:-240}" --answer 4096 --once 0.5 --seed 1 --open-tries 20
load "$small" 70 --flows 20 --rate 10 --answer 60000 --once 0.5 --seed 2 --open-tries 20
nap 8
sample

say "edit a setting, follow it with watch"
run "$bin/ebonyctl" node set "/$half/$big" attemptTime=900ms --no-wait --output json >"$work/edit.json"
[[ $(<"$work/edit.json") =~ \"rev\":\ *([0-9]+) ]]
force watch watch "${BASH_REMATCH[1]}"

say "kill $kill"
kill_instance "$kill"
nap 4
replace "$kill"
nap 6

say "stop $stop gracefully"
stop_instance "$stop"
start_instance "$stop"
mark started "$stop"

say "server $server leaves"
mark leave "$server"
force server-leave server leave "$server"
nap 4
sample
nap 3
sample
mark return "$server"
force server-return server return "$server"

say "server $cold falls into cold start"
# Instances learn of the fall by what the server sheds, so it must bear to shed
# for once: as much as its two slots with two waiting requests each hold.
mark cold "$cold"
post "http://$records/command" "{\"server\":$cold,\"do\":\"cold\",\"margin\":6}"
nap 3

say "domain $domain out"
mark out "$domain"
force domain-out domain out "$domain"
nap 7
sample
say "domain $domain back"
mark back "$domain"
force domain-in domain in "$domain"
nap 3

say "object API down, $outage restarts"
mark down
post "http://$api/fault" '{"down":true}'
nap 1
kill_instance "$outage"
nap 1
replace "$outage"
nap 4
post "http://$api/fault" '{}'
mark up
nap 2
say "edit a setting"
force setting node set "/$half/$big" attemptTime=800ms

reap "load-$big" || true
reap "load-$small" || true
sample
say "done"
exp=()
for kind in kill stop leave cold out down force; do exp+=(--expect "$kind"); done
"$bin/ebonyemu" verdict --settings "$settings" --servers "$work/servers.json" --samples "$samples" --events "$events" \
  --report "$big=$work/load-$big.out" --report "$small=$work/load-$small.out" "${exp[@]}" >"$work/verdict.txt"
