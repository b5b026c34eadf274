# Functions that run one half on loopback. Sourced by demo.sh.
#
# start_half NAME    starts the stand-ins and one daemon for each entry place
# stop_all           ends every process that this script started

bin=${bin:-bin}
work=${work:?directory for inputs and logs}
pids=()

# spawn NAME COMMAND... starts a process and remembers its identifier.
spawn() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  eval "pid_${name//[^a-zA-Z0-9]/_}=$!"
}

pid_of() { local v="pid_${1//[^a-zA-Z0-9]/_}"; echo "${!v}"; }

stop_all() {
  local p
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
  sleep 0.5
  for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

plan() { "$bin/ebonyemu" plan --settings "$work/$half.json" --object-api "$api" "$@"; }

# start_half NAME NETWORK: addresses of the sample move to loopback.
start_half() {
  half=$1
  net=$2
  sed 's/"10\./"127./' "samples/$half.json" >"$work/$half.json"
  api=127.$net.254.1:8080
  plan --print objects >"$work/objects.json"
  plan --print servers >"$work/servers.json"
  spawn objects "$bin/ebonyemu" object-api --listen "$api" --seed-file "$work/objects.json" --instance-lag 1s
  spawn servers "$bin/ebonyemu" server --config "$work/servers.json" --http "127.$net.254.3:7600"
  local args=() path addr
  while read -r path addr; do
    args+=(--service "$addr")
    eval "service_${path##*/}=$addr"
  done < <(plan --print services)
  instances=()
  while read -r entry admin; do
    plan --print process --entry "$entry" >"$work/$entry.json"
    spawn "$entry" "$bin/ebonyd" run --config "$work/$entry.json"
    instances+=(--instance "$admin")
    entries+=("$entry")
  done < <(plan --print entries)
  spawn fabric "$bin/ebonyemu" fabric "${args[@]}" --inside "127.$net.254.2:7500" --http "127.$net.254.2:7501" --object-api "http://$api" --every 500ms
}
entries=()
