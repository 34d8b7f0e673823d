# Functions for bench scripts that run a fleet of real daemons and the platform
# stand-in on loopback. To be sourced; stops the processes it started on exit.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
bin=build/${PRESET:-release}
daemon=$bin/src/app/laburnumspreadd
ctl=$bin/src/ctl/laburnumctl
load=$bin/bench/laburnum-load
platform=127.0.0.1:12379
export LABURNUM_SERVER=127.0.0.1:18101 LABURNUM_KEY=trial-operator
logs=$(mktemp -d)
standin_pid=
declare -A entry_pids=()

user=${FLEET_USER:-thalappakatti}
example=deploy/examples/$user

# start_standin: FLEET_FILE and REBOOT_MS override the fleet and reboot time
start_standin() {
  "$bin/standin/laburnum-standin" --fleet "${FLEET_FILE:-$example/fleet.json}" \
    --reboot-ms "${REBOOT_MS:-500}" >"$logs/standin" 2>&1 &
  standin_pid=$!
  sleep 0.2
}

# start_entry N [SETTINGS]: SETTINGS defaults to the example's file for entry N
start_entry() {
  "$daemon" --config "${2:-$example/entry-$1.json}" >>"$logs/entry-$1" 2>&1 &
  entry_pids[$1]=$!
}

wait_ready() {
  for _ in $(seq 200); do
    curl -sf "http://127.0.0.1:$((18100 + $1))/readyz" >/dev/null && return 0
    sleep 0.05
  done
  echo "entry $1 did not become ready (logs in $logs)" >&2
  return 1
}

# wait_members COUNT [SECONDS]: waits until all COUNT entries are members of a
# settled view
wait_members() {
  for _ in $(seq $((${2:-20} * 10))); do
    [ "$($ctl get entries 2>/dev/null | grep -c 'entry-.*true ')" = "$1" ] &&
      [ "$($ctl dump 2>/dev/null |
        jq '.view.number == .view.settledThrough')" = true ] && return 0
    sleep 0.1
  done
  return 1
}

# start_fleet COUNT: starts the stand-in and COUNT entries, waits until all have
# joined, and applies the example's configuration
start_fleet() {
  start_standin
  for n in $(seq "$1"); do start_entry "$n"; done
  for n in $(seq "$1"); do wait_ready "$n"; done
  wait_members "$1"
  $ctl apply -f "${FLEET_FILE:-$example/fleet.json}" --wait >/dev/null
}

servers() {
  local list=
  for n in $(seq "$1"); do list+=",127.0.0.1:$((18100 + n))"; done
  echo "${list:1}"
}

faults() { curl -sf -d "$1" "http://$platform/faults" >/dev/null; }
ledger() { curl -sf "http://$platform/platform/ledger"; }
dump() { $ctl -s "127.0.0.1:$((18100 + $1))" dump; }

stop_fleet() {
  for pid in "${entry_pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${entry_pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${entry_pids[@]}"; do
    timeout 8 tail --pid="$pid" -f /dev/null || kill -9 "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  entry_pids=()
  [ -n "$standin_pid" ] && kill "$standin_pid" 2>/dev/null
  wait "$standin_pid" 2>/dev/null || true
  standin_pid=
}
trap stop_fleet EXIT
