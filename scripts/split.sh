#!/usr/bin/env bash
# Splits one organisation in two while callers of all services are served: the
# ledger and archive services of half koysipaja (samples/united.json) become half
# utility (samples/split.json). Their backend servers are removed, quarantined
# and added to the new half. The steps are those of docs/split.md.
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
prepare_settings samples/united.json 20 "${sets[@]}" /koysipaja/order/fi-south-a:coldTime= /koysipaja/order/fi-south-d:coldTime= /koysipaja/intake/fi-south-d:coldTime=
start_half fixed
await_settings
log "${#entries[@]} instances of half koysipaja have the settings"

# Callers close their flows after some seconds and open others; kiosks do so
# after some hours. The callers of the old addresses end when callers get the new
# addresses (step 4).
life=(--flow-life 4s --open-tries 20 --once 0.5)
start_load order 84 --flows 30 --rate 60 --answer 4096 --seed 1 "${life[@]}"
start_load intake 84 --flows 10 --rate 10 --answer 60000 --seed 2 "${life[@]}"
start_load ledger 40 --flows 30 --rate 60 --answer 4096 --seed 3 "${life[@]}"
start_load archive 40 --flows 10 --rate 10 --answer 60000 --seed 4 "${life[@]}"
interruptible_sleep 5
take_sample

log "step 1: the new half's tree and failure domains"
timed_edit new-half apply "$work/split.json" --timeout 10s

log "step 2: the new half's instances"
settings_of_united=$settings settings=$work/split.json
print_plan --print entries >"$work/new-entries.txt"
list=
while read -r e a d; do
  entries+=("$e") admin[$e]=$a data[$e]=$d list+=,$a
  print_plan --print process --entry "$e" >"$work/$e.json"
  start_instance "$e"
done <"$work/new-entries.txt"
new=${list#,}
args=()
while read -r path addr; do
  args+=(--service "$addr")
  service[new-${path##*/}]=$addr
done < <(print_plan --print services)
while read -r e a d; do args+=(--instance "$d"); done <"$work/new-entries.txt"
spawn new-fabric "$bin/ebonyemu" fabric "${args[@]}" --inside 127.30.254.2:7500 --http 127.30.254.2:7501
settings=$settings_of_united
EBONYCTL_INSTANCE=$new await_settings

# timed_edit_both_halves NAME ARGUMENTS... runs an edit, waits until it is in
# force on the instances of half koysipaja and then on those of half utility, and
# records how long that took.
timed_edit_both_halves() {
  local name=$1 from=${EPOCHREALTIME/./} code=0 us
  shift
  echo "\$ ebonyctl $*" >>"$work/ctl.log"
  run_interruptible "$bin/ebonyctl" "$@" --output json >"$work/edit.json" 2>>"$work/ctl.log" || code=$?
  cat "$work/edit.json" >>"$work/ctl.log"
  if [[ $(<"$work/edit.json") =~ \"rev\":\ *([0-9]+) ]]; then
    EBONYCTL_INSTANCE=$new run_ebonyctl watch "${BASH_REMATCH[1]}" || code=$?
  else
    code=1
  fi
  us=$((${EPOCHREALTIME/./} - from))
  record_event force "$name" $code "$((us / 1000000)).$(printf %06d $((us % 1000000)))"
}

# move_servers SERVER... moves servers, given as NAME:IDENTIFIER:DOMAIN, to the
# service of the same name in the new half. Only the last of several edits is
# waited for.
move_servers() {
  local name last=${*: -1} ids=() i
  for name in "$@"; do
    record_event leave "${name%:*:*}"
    if [[ $name == "$last" ]]; then timed_edit_both_halves "leave-${name%:*:*}" server leave "${name%:*:*}"; else run_ebonyctl server leave "${name%:*:*}" --no-wait; fi
    i=${name#*:}
    ids+=(--server "${i%:*}")
  done
  interruptible_sleep 4
  take_sample
  run_interruptible "$bin/ebonyemu" empty --http "$records" "${ids[@]}"
  take_sample
  for name in "$@"; do
    record_event return "${name%:*:*}"
    if [[ $name == "$last" ]]; then timed_edit_both_halves "remove-${name%:*:*}" server remove "${name%:*:*}"; else run_ebonyctl server remove "${name%:*:*}" --no-wait; fi
  done
  log "quarantine of $# addresses"
  interruptible_sleep 10.5
  for name in "$@"; do
    i=${name#*:}
    case $name in
    ledger*) post_json "http://$records/command" "{\"server\":${i%:*},\"do\":\"move\",\"service\":21,\"generation\":2}" ;;
    archive*) post_json "http://$records/command" "{\"server\":${i%:*},\"do\":\"move\",\"service\":22,\"generation\":2}" ;;
    esac
    if [[ $name == "$last" ]]; then
      timed_edit_both_halves "move-${name%:*:*}" server move "${name%:*:*}" "/utility/${name%%-*}" "cork-${name##*:}"
    else
      run_ebonyctl server move "${name%:*:*}" "/utility/${name%%-*}" "cork-${name##*:}" --no-wait
    fi
  done
}

# Servers as NAME:IDENTIFIER:DOMAIN: the first half of each service's servers and
# the second. Numbers 1, 4, 7... of a service are in domain a, 2, 5, 8... in
# domain b and 3, 6, 9... in domain c.
first=() second=()
for i in {1..18}; do
  s=ledger-$(printf %02d $i)
  ((i <= 14)) || s=archive-$(printf %02d $((i - 14)))
  s+=:$((30000 + i)):$(domain=(a b c); d=$(((i - 1) % 3)); ((i <= 14)) || d=$(((i - 15) % 3)); echo "${domain[$d]}")
  if ((i <= 7 || i == 15 || i == 16)); then first+=("$s"); else second+=("$s"); fi
done

log "step 3: the first half of the servers leaves, is removed and moves"
move_servers "${first[@]}"

interruptible_sleep 3 # a server with a new record gets new work 4 s after the edit
log "step 4: callers get the new addresses"
start_new_load() {
  spawn "load-$1" "$bin/ebonyemu" caller --service "${service[$1]}" --records "http://$records/records" --output json --callers 2 "${@:2}"
}
start_new_load new-ledger --duration 46s --flows 30 --rate 60 --answer 4096 --seed 5 "${life[@]}"
start_new_load new-archive --duration 46s --flows 10 --rate 10 --answer 60000 --seed 6 "${life[@]}"
reap load-ledger || true
reap load-archive || true

log "step 5: the other servers follow"
move_servers "${second[@]}"

log "step 6: the old services go"
timed_edit_both_halves release-ledger node set /koysipaja/ledger address=
timed_edit_both_halves release-archive node set /koysipaja/archive address=
interruptible_sleep 10.5
timed_edit_both_halves delete-ledger node delete /koysipaja/ledger
timed_edit_both_halves delete-archive node delete /koysipaja/archive

for name in new-ledger new-archive order intake; do reap "load-$name" || true; done
take_sample
log "done"
args=()
for name in order intake ledger archive new-ledger new-archive; do args+=(--report "$name=$work/load-$name.out"); done
code=0
"$bin/ebonyemu" verdict --settings "$settings" --servers "$work/servers.json" --samples "$samples" --events "$events" \
  "${args[@]}" --expect leave --expect force || code=1
((code == 0)) && echo "every requirement held" || echo "a requirement did not hold" >&2
exit $code
