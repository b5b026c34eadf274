# Functions that run one half on loopback. Sourced by half.sh and split.sh,
# which set $work, a directory for inputs and logs.
#
# Apart from the programs under test, only bash and coreutils are used. Every
# process is recorded by its process identifier and ended by it.

export LC_ALL=C # makes the decimal separator in EPOCHREALTIME a point
bin=${bin:-bin}
work=${work:?directory for inputs and logs}
declare -A pid admin data service
entries=()
samples=$work/samples.jsonl
events=$work/events.txt

# spawn NAME COMMAND... starts a process in the background. A restart under the
# same name appends to the log.
spawn() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>>"$work/$name.log" &
  pid[$name]=$!
}

# reap NAME waits for a process to end and returns its exit code.
reap() {
  local p=${pid[$1]} code=0
  wait "$p" 2>/dev/null || code=$?
  unset "pid[$1]"
  return $code
}

# run_interruptible COMMAND... runs a command in such a way that the script
# handles signals at once. Bash delays traps until a foreground command ends.
run_interruptible() {
  local code=0
  "$@" &
  pid[run]=$!
  wait "${pid[run]}" || code=$?
  unset 'pid[run]'
  return $code
}

interruptible_sleep() { run_interruptible sleep "$1"; }

# stop_all ends every process that this script started and has not reaped.
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

log() { echo "$half $(((${EPOCHREALTIME/./} - began) / 1000000))s: $*"; }

# record_event KIND ARGUMENTS... records an event for the verdict.
record_event() { echo "$EPOCHREALTIME $*" >>"$events"; }

take_sample() {
  local args=() e
  for e in "${entries[@]}"; do args+=(--instance "$e=${admin[$e]}"); done
  run_interruptible "$bin/ebonyemu" sample "${args[@]}" --records "http://$records/records" >>"$samples"
}

post_json() { run_interruptible "$bin/ebonyemu" post "$1" "$2"; }

run_ebonyctl() { run_interruptible "$bin/ebonyctl" "$@" >>"$work/ctl.log" 2>&1; }

# timed_edit NAME ARGUMENTS... runs ebonyctl, which waits until its edit is in
# force on every instance, and records how long that took.
timed_edit() {
  local name=$1 code=0 from=${EPOCHREALTIME/./} us
  shift
  echo "\$ ebonyctl $*" >>"$work/ctl.log"
  run_ebonyctl "$@" || code=$?
  us=$((${EPOCHREALTIME/./} - from))
  record_event force "$name" $code "$((us / 1000000)).$(printf %06d $((us % 1000000)))"
}

# prepare_settings FILE NETWORK [PATH:FIELD=VALUE...] copies sample settings,
# moves their addresses to the loopback network and sets values for a short run.
# NETWORK is the second number of the addresses of the simulated systems.
prepare_settings() {
  local file=$1 net=$2 args=() s
  shift 2
  for s in "$@"; do args+=(--set "$s"); done
  settings=$work/settings.json
  "$bin/ebonyemu" plan --settings "$file" --network 127 "${args[@]}" --print settings >"$settings"
  api=127.$net.254.1:8080 inside=127.$net.254.2:7500 fabric=127.$net.254.2:7501 records=127.$net.254.3:7600
}

print_plan() { "$bin/ebonyemu" plan --settings "$settings" --object-api "$api" "$@"; }

# start_half [fixed] starts the simulated systems and one daemon for each entry
# place. With "fixed", the fabric uses a fixed list of instances, otherwise the
# list of the object API.
start_half() {
  print_plan --print objects >"$work/objects.json"
  print_plan --print servers >"$work/servers.json"
  local args=() path addr e a d list=
  while read -r path addr; do
    args+=(--service "$addr")
    service[${path##*/}]=$addr
  done < <(print_plan --print services)
  spawn objects "$bin/ebonyemu" object-api --listen "$api" --seed-file "$work/objects.json" --instance-lag 1s
  spawn servers "$bin/ebonyemu" server --config "$work/servers.json" --http "$records"
  while read -r e a d; do
    entries+=("$e") admin[$e]=$a data[$e]=$d list+=,$a
    print_plan --print process --entry "$e" >"$work/$e.json"
  done < <(print_plan --print entries)
  for e in "${entries[@]}"; do start_instance "$e"; done
  if [[ ${1:-} == fixed ]]; then
    for e in "${entries[@]}"; do args+=(--instance "${data[$e]}"); done
  else
    args+=(--object-api "http://$api" --every 500ms)
  fi
  spawn fabric "$bin/ebonyemu" fabric "${args[@]}" --inside "$inside" --http "$fabric"
  EBONYCTL_OPERATOR_KEY=$(print_plan --print operator-key)
  export EBONYCTL_API=http://$api EBONYCTL_INSTANCE=${list#,} EBONYCTL_OPERATOR_KEY
  check_processes
}

# check_processes fails if a process has ended, for example because another run
# uses its addresses. The two runs would then send load to each other's services.
check_processes() {
  local name
  interruptible_sleep 0.5
  for name in "${!pid[@]}"; do
    if ! kill -0 "${pid[$name]}" 2>/dev/null; then
      log "$name has ended: $(tail -n 1 "$work/$name.log")"
      return 1
    fi
  done
}

# start_instance NAME starts the daemon of an entry place. It appends to the log
# of an earlier process of that name.
start_instance() {
  "$bin/ebonyd" run --config "$work/$1.json" >>"$work/$1.log" 2>&1 &
  pid[$1]=$!
}

# kill_instance NAME kills an instance. The simulated fabric sends it no more
# packets after a second, as the platform's health check would cause.
kill_instance() {
  take_sample
  record_event kill "$1"
  kill -KILL "${pid[$1]}"
  reap "$1" || true
  post_json "http://$fabric/fault" "{\"stop\":[{\"instance\":\"${data[$1]}\",\"after\":\"1s\"}]}"
}

# replace_instance NAME starts a new process at an entry place whose process was
# killed.
replace_instance() {
  start_instance "$1"
  interruptible_sleep 1.5 # the platform sends packets only to healthy instances
  post_json "http://$fabric/fault" '{}'
  record_event started "$1"
}

# stop_instance NAME stops an instance gracefully and waits until it has ended.
stop_instance() {
  take_sample
  record_event stop "$1"
  kill -TERM "${pid[$1]}"
  reap "$1" || log "$1 ended with an error"
  record_event stopped "$1"
}

# start_load NAME SECONDS ARGUMENTS... starts sending load to a service.
start_load() {
  local name=$1 seconds=$2
  shift 2
  spawn "load-$name" "$bin/ebonyemu" caller --service "${service[$name]}" --records "http://$records/records" \
    --duration "${seconds}s" --output json --callers 2 "$@"
}

# await_settings waits until the first settings are in force on every instance.
await_settings() {
  local i
  for i in {1..10}; do run_ebonyctl watch 1 --timeout 2s && return; done
  log "settings are not in force"
  return 1
}
