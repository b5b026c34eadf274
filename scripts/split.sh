#!/usr/bin/env bash
# Splits one organisation in two: the ledger and archive services of half
# koysipaja (samples/united.json) become half utility (samples/split.json), and
# their backend servers move to it through removal and quarantine, while
# callers of all services are served. The steps are those of docs/split.md.
set -euo pipefail
cd "$(dirname "$0")/.."
half=split
keep=${1:-}
work=${keep:-$(mktemp -d)}
mkdir -p "$work"
began=${EPOCHREALTIME/./}
. scripts/local.sh
finish() {
  stop_all
  [[ -n $keep ]] || rm -rf "$work"
}
trap finish EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# Short cold starts, as in half.sh.
sets=(/:coldTime=2s /:ticketTime=6s)
"$bin/ebonyemu" plan --settings samples/split.json --network 127 --set "${sets[0]}" --set "${sets[1]}" --print settings >"$work/split.json"
plan_half samples/united.json 20 "${sets[@]}" /koysipaja/order/fi-south-a:coldTime= /koysipaja/order/fi-south-d:coldTime= /koysipaja/intake/fi-south-d:coldTime=
start_half fixed
await_force
say "${#entries[@]} instances of half koysipaja have the settings"

# Callers close their flows after some seconds and open others, as kiosks do
# after some hours. The callers of the old addresses end when they have been
# told the new ones.
life=(--flow-life 4s --open-tries 20 --once 0.5)
load order 84 --flows 30 --rate 60 --answer 4096 --seed 1 "${life[@]}"
load intake 84 --flows 10 --rate 10 --answer 60000 --seed 2 "${life[@]}"
load ledger 40 --flows 30 --rate 60 --answer 4096 --seed 3 "${life[@]}"
load archive 40 --flows 10 --rate 10 --answer 60000 --seed 4 "${life[@]}"
nap 5
sample

say "step 1: the new half's tree and failure domains"
force new-half apply "$work/split.json" --timeout 10s

say "step 2: the new half's instances"
settings_of_united=$settings settings=$work/split.json
plan --print entries >"$work/new-entries.txt"
list=
while read -r e a d; do
  entries+=("$e") admin[$e]=$a data[$e]=$d list+=,$a
  plan --print process --entry "$e" >"$work/$e.json"
  start_instance "$e"
done <"$work/new-entries.txt"
new=${list#,}
args=()
while read -r path addr; do
  args+=(--service "$addr")
  service[new-${path##*/}]=$addr
done < <(plan --print services)
while read -r e a d; do args+=(--instance "$d"); done <"$work/new-entries.txt"
spawn new-fabric "$bin/ebonyemu" fabric "${args[@]}" --inside 127.30.254.2:7500 --http 127.30.254.2:7501
settings=$settings_of_united
EBONYCTL_INSTANCE=$new await_force

# both NAME ARGUMENTS... runs an edit, which waits for the instances of half
# koysipaja, and then waits for those of half utility as well.
both() {
  local name=$1 from=${EPOCHREALTIME/./} code=0 us
  shift
  echo "\$ ebonyctl $*" >>"$work/ctl.log"
  run "$bin/ebonyctl" "$@" --output json >"$work/edit.json" 2>>"$work/ctl.log" || code=$?
  cat "$work/edit.json" >>"$work/ctl.log"
  if [[ $(<"$work/edit.json") =~ \"rev\":\ *([0-9]+) ]]; then
    EBONYCTL_INSTANCE=$new ctl watch "${BASH_REMATCH[1]}" || code=$?
  else
    code=1
  fi
  us=$((${EPOCHREALTIME/./} - from))
  mark force "$name" $code "$((us / 1000000)).$(printf %06d $((us % 1000000)))"
}

# move SERVICE-IDENTIFIER PATH SERVER... moves servers to a service of the new
# half. All but the last edit are written without waiting.
move() {
  local name last=${*: -1} ids=() i
  for name in "$@"; do
    mark leave "${name%:*:*}"
    if [[ $name == "$last" ]]; then both "leave-${name%:*:*}" server leave "${name%:*:*}"; else ctl server leave "${name%:*:*}" --no-wait; fi
    i=${name#*:}
    ids+=(--server "${i%:*}")
  done
  nap 4
  sample
  run "$bin/ebonyemu" empty --http "$records" "${ids[@]}"
  sample
  for name in "$@"; do
    mark return "${name%:*:*}"
    if [[ $name == "$last" ]]; then both "remove-${name%:*:*}" server remove "${name%:*:*}"; else ctl server remove "${name%:*:*}" --no-wait; fi
  done
  say "quarantine of $# addresses"
  nap 10.5
  for name in "$@"; do
    i=${name#*:}
    case $name in
    ledger*) post "http://$records/command" "{\"server\":${i%:*},\"do\":\"move\",\"service\":21,\"generation\":2}" ;;
    archive*) post "http://$records/command" "{\"server\":${i%:*},\"do\":\"move\",\"service\":22,\"generation\":2}" ;;
    esac
    if [[ $name == "$last" ]]; then
      both "move-${name%:*:*}" server move "${name%:*:*}" "/utility/${name%%-*}" "cork-${name##*:}"
    else
      ctl server move "${name%:*:*}" "/utility/${name%%-*}" "cork-${name##*:}" --no-wait
    fi
  done
}

# Servers as NAME:IDENTIFIER:DOMAIN, the first and the second half of each
# service. Numbers 1, 4, 7... are in domain a, and so on.
first=() second=()
for i in {1..18}; do
  s=ledger-$(printf %02d $i)
  ((i <= 14)) || s=archive-$(printf %02d $((i - 14)))
  s+=:$((30000 + i)):$(domain=(a b c); d=$(((i - 1) % 3)); ((i <= 14)) || d=$(((i - 15) % 3)); echo "${domain[$d]}")
  if ((i <= 7 || i == 15 || i == 16)); then first+=("$s"); else second+=("$s"); fi
done

say "step 3: the first half of the servers leaves, is removed and moves"
move "${first[@]}"

nap 3 # servers under a new record take new work 4 s after the edit
say "step 4: callers are told the new addresses"
spawn_new() {
  spawn "load-$1" "$bin/ebonyemu" caller --service "${service[$1]}" --records "http://$records/records" --output json --callers 2 "${@:2}"
}
spawn_new new-ledger --duration 46s --flows 30 --rate 60 --answer 4096 --seed 5 "${life[@]}"
spawn_new new-archive --duration 46s --flows 10 --rate 10 --answer 60000 --seed 6 "${life[@]}"
reap load-ledger || true
reap load-archive || true

say "step 5: the other servers follow"
move "${second[@]}"

say "step 6: the old services go"
both release-ledger node set /koysipaja/ledger address=
both release-archive node set /koysipaja/archive address=
nap 10.5
both delete-ledger node delete /koysipaja/ledger
both delete-archive node delete /koysipaja/archive

for name in new-ledger new-archive order intake; do reap "load-$name" || true; done
sample
say "done"
args=()
for name in order intake ledger archive new-ledger new-archive; do args+=(--report "$name=$work/load-$name.out"); done
code=0
"$bin/ebonyemu" verdict --settings "$settings" --servers "$work/servers.json" --samples "$samples" --events "$events" \
  "${args[@]}" --expect leave --expect force || code=1
((code == 0)) && echo "every requirement held" || echo "a requirement did not hold" >&2
exit $code
