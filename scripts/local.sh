# Functions that run one half on loopback. Sourced by half.sh and split.sh,
# which set $work, a directory for inputs and logs.
#
# Only bash and coreutils are used beside the programs. Every process is
# remembered by its identifier and ended by it.

export LC_ALL=C # EPOCHREALTIME has a point in it
bin=${bin:-bin}
work=${work:?directory for inputs and logs}
declare -A pid admin data service
entries=()
samples=$work/samples.jsonl
events=$work/events.txt

# spawn NAME COMMAND... starts a process in the background. Its log survives a
# restart under the same name.
spawn() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>>"$work/$name.log" &
  pid[$name]=$!
}

# reap NAME waits for a process to end, and returns its exit code.
reap() {
  local p=${pid[$1]} code=0
  wait "$p" 2>/dev/null || code=$?
  unset "pid[$1]"
  return $code
}

# run COMMAND... runs a command that a signal to this script interrupts.
run() {
  local code=0
  "$@" &
  pid[run]=$!
  wait "${pid[run]}" || code=$?
  unset 'pid[run]'
  return $code
}

nap() { run sleep "$1"; }

# stop_all ends every process that this script started and did not reap.
stop_all() {
  local name
  for name in "${!pid[@]}"; do kill -TERM "${pid[$name]}" 2>/dev/null || true; done
  ((${#pid[@]})) && sleep 0.3
  for name in "${!pid[@]}"; do
    kill -KILL "${pid[$name]}" 2>/dev/null || true
    wait "${pid[$name]}" 2>/dev/null || true
  done
  pid=()
}

say() { echo "$half $(((${EPOCHREALTIME/./} - began) / 1000000))s: $*"; }

# mark KIND ARGUMENTS... records an event for the verdict.
mark() { echo "$EPOCHREALTIME $*" >>"$events"; }

sample() {
  local args=() e
  for e in "${entries[@]}"; do args+=(--instance "$e=${admin[$e]}"); done
  run "$bin/ebonyemu" sample "${args[@]}" --records "http://$records/records" >>"$samples"
}

post() { run "$bin/ebonyemu" post "$1" "$2"; }

ctl() { run "$bin/ebonyctl" "$@" >>"$work/ctl.log" 2>&1; }

# force NAME ARGUMENTS... runs ebonyctl, which waits until its edit is in
# force everywhere, and records how long that took.
force() {
  local name=$1 code=0 from=${EPOCHREALTIME/./} us
  shift
  echo "\$ ebonyctl $*" >>"$work/ctl.log"
  ctl "$@" || code=$?
  us=$((${EPOCHREALTIME/./} - from))
  mark force "$name" $code "$((us / 1000000)).$(printf %06d $((us % 1000000)))"
}

# plan_half FILE NETWORK [PATH:FIELD=VALUE...] copies a sample, moves its
# addresses to the loopback network and sets values for a short run.
plan_half() {
  local file=$1 net=$2 args=() s
  shift 2
  for s in "$@"; do args+=(--set "$s"); done
  settings=$work/settings.json
  "$bin/ebonyemu" plan --settings "$file" --network 127 "${args[@]}" --print settings >"$settings"
  api=127.$net.254.1:8080 inside=127.$net.254.2:7500 fabric=127.$net.254.2:7501 records=127.$net.254.3:7600
}

plan() { "$bin/ebonyemu" plan --settings "$settings" --object-api "$api" "$@"; }

# start_half [fixed] starts the stand-ins and one daemon for each entry place.
# The fabric takes the instances from the object API, or has a fixed list.
start_half() {
  plan --print objects >"$work/objects.json"
  plan --print servers >"$work/servers.json"
  local args=() path addr e a d list=
  while read -r path addr; do
    args+=(--service "$addr")
    service[${path##*/}]=$addr
  done < <(plan --print services)
  spawn objects "$bin/ebonyemu" object-api --listen "$api" --seed-file "$work/objects.json" --instance-lag 1s
  spawn servers "$bin/ebonyemu" server --config "$work/servers.json" --http "$records"
  while read -r e a d; do
    entries+=("$e") admin[$e]=$a data[$e]=$d list+=,$a
    plan --print process --entry "$e" >"$work/$e.json"
  done < <(plan --print entries)
  for e in "${entries[@]}"; do start_instance "$e"; done
  if [[ ${1:-} == fixed ]]; then
    for e in "${entries[@]}"; do args+=(--instance "${data[$e]}"); done
  else
    args+=(--object-api "http://$api" --every 500ms)
  fi
  spawn fabric "$bin/ebonyemu" fabric "${args[@]}" --inside "$inside" --http "$fabric"
  EBONYCTL_OPERATOR_KEY=$(plan --print operator-key)
  export EBONYCTL_API=http://$api EBONYCTL_INSTANCE=${list#,} EBONYCTL_OPERATOR_KEY
  all_run
}

# all_run fails when a process has ended, for instance because another run has
# its addresses. The two runs would load each other's services.
all_run() {
  local name
  nap 0.5
  for name in "${!pid[@]}"; do
    if ! kill -0 "${pid[$name]}" 2>/dev/null; then
      say "$name has ended: $(tail -n 1 "$work/$name.log")"
      return 1
    fi
  done
}

# start_instance NAME appends to the log of an earlier process of that name.
start_instance() {
  "$bin/ebonyd" run --config "$work/$1.json" >>"$work/$1.log" 2>&1 &
  pid[$1]=$!
}

# kill_instance NAME ends an instance without warning. The platform takes it
# out of the spray a second later, as its health check would.
kill_instance() {
  sample
  mark kill "$1"
  kill -KILL "${pid[$1]}"
  reap "$1" || true
  post "http://$fabric/fault" "{\"stop\":[{\"instance\":\"${data[$1]}\",\"after\":\"1s\"}]}"
}

# replace NAME starts a new process at a place whose process was killed.
replace() {
  start_instance "$1"
  nap 1.5 # the platform sprays to an instance once it is healthy
  post "http://$fabric/fault" '{}'
  mark started "$1"
}

# stop_instance NAME stops an instance gracefully and waits for its end.
stop_instance() {
  sample
  mark stop "$1"
  kill -TERM "${pid[$1]}"
  reap "$1" || say "$1 ended with an error"
  mark stopped "$1"
}

# load NAME SECONDS ARGUMENTS... starts the load of a service.
load() {
  local name=$1 seconds=$2
  shift 2
  spawn "load-$name" "$bin/ebonyemu" caller --service "${service[$name]}" --records "http://$records/records" \
    --duration "${seconds}s" --output json --callers 2 "$@"
}

# await_force waits until the first settings are in force on every instance.
await_force() {
  local i
  for i in {1..10}; do ctl watch 1 --timeout 2s && return; done
  say "settings are not in force"
  return 1
}
