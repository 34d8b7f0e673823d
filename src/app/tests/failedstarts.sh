#!/usr/bin/env bash
# Guards against a start that fails and then ends by a signal or never, as
# destructors ran under live fibers: each program must exit with 1 at once and
# write one line that names the reason.
# failedstarts.sh BUILD_FOLDER SOURCE_FOLDER [STARTS]
set -euo pipefail
build=$1 examples=$2/deploy/examples starts=${3:-20}
entry=$build/src/app/laburnumspreadd
folder=$(mktemp -d)
running=
# shellcheck disable=SC2317
stop_running() {
  [ -z "$running" ] || kill "$running" 2>/dev/null || true
  wait
  rm -r "$folder"
}
trap stop_running EXIT
# Loopback addresses of this run, so that its ports are free.
ip=127.101.$(($$ / 250 % 250 + 1)).$(($$ % 250 + 1))
free=$ip:0 nobody=$ip:1
red=0

start() {
  timeout 10 "$@" >"$folder/out" 2>"$folder/err" </dev/null
}

# Starts a program $starts times. Each start must exit with 1 and write one line
# about the failure, which contains $2: expect CASE REASON PROGRAM ARGUMENT...
expect() {
  local name=$1 reason=$2 n code lines good=0 codes=
  shift 2
  for ((n = 0; n < starts; ++n)); do
    code=0
    start "$@" 2>/dev/null || code=$?
    grep 'level=error' "$folder/out" >>"$folder/err" || true
    lines=$(wc -l <"$folder/err")
    codes+=" $code"
    if [ "$code" = 1 ] && [ "$lines" = 1 ] && grep -qF -- "$reason" "$folder/err"
    then
      good=$((good + 1))
    fi
  done
  codes=$(tr ' ' '\n' <<<"${codes# }" | sort -n | uniq -c |
    awk '{ printf " %sx%s", $1, $2 }')
  echo "$name: $good of $starts, exit codes$codes"
  if [ "$good" != "$starts" ]; then
    sed 's/^/  last: /' "$folder/err" | head -n 5
    red=1
  fi
}

# An entry that serves jobs, on its own addresses and without a store.
cell() {
  echo "$entry" --config "$examples/cell/entry-1.json" \
    --set "store.address=$nobody" --set "services.machines=$nobody" \
    --set "listen.callers=${callers:-$free}" \
    --set "listen.readiness=${readiness:-$free}" \
    --set "listen.peers=${peers:-$free}" \
    --set "listen.metrics=${metrics:-$free}"
}

# An entry that serves requests, of the same kind.
request_entry() {
  echo "$entry" --config "$examples/folha-comum/entry-1.json" \
    --set "platform.address=$nobody" --set "listen.http=${http:-$free}" \
    --set "listen.peer=${peer:-$free}"
}

callers=$ip:8301 readiness=$ip:8311 peers=$ip:8321 metrics=$ip:8331
# shellcheck disable=SC2046,SC2091
$(cell) >"$folder/running" &
running=$!
for _ in $(seq 200); do
  grep -qs event=entry.listening "$folder/running" && break
  sleep 0.1
done
taken=$callers
callers='' readiness='' peers='' metrics=''

for field in callers readiness peers metrics; do
  declare "$field=$taken"
  # The commands contain no spaces within words.
  # shellcheck disable=SC2046
  expect "cell, $field taken" "$taken" $(cell)
  declare "$field="
done
for field in http peer; do
  declare "$field=$taken"
  # shellcheck disable=SC2046
  expect "entry, $field taken" "$taken" $(request_entry)
  declare "$field="
done

operator=$examples/cell/operator.json
expect "cell stand-in, address taken" "$taken" \
  "$build/platform/laburnum-cell-standin" --listen "$taken" --config "$operator"
expect "cell stand-in, file missing" "$folder/missing" \
  "$build/platform/laburnum-cell-standin" --listen "$free" \
  --config "$folder/missing"

standin=$build/standin/laburnum-standin
vm() {
  echo '{"items": [{"kind": "vms", "metadata": {"name": "vm-1"},' \
    "\"spec\": {\"address\": \"$1\"}}]}"
}
vm "$free" >"$folder/free.json"
vm "$taken" >"$folder/taken.json"
expect "stand-in, control address taken" "$taken" \
  "$standin" --listen "$taken" --fleet "$folder/free.json"
expect "stand-in, endpoint taken" "$taken" \
  "$standin" --listen "$free" --fleet "$folder/taken.json"
expect "stand-in, file missing" "$folder/missing" \
  "$standin" --listen "$free" --fleet "$folder/missing"
expect "soak, folder missing" "$folder/missing" \
  "$build/soak/laburnum-soak" --folder "$folder/missing" --seconds 0

expect "settings missing" "$folder/missing" "$entry" --config "$folder/missing"
expect "settings a folder" "$folder: cannot be read" "$entry" --config "$folder"
expect "settings not JSON" "$0" "$entry" --config "$0"
expect "cell, settings rejected" listen.callers "$entry" \
  --config "$examples/cell/entry-1.json" --set listen.callers=here
expect "entry, settings rejected" listen.http "$entry" \
  --config "$examples/folha-comum/entry-1.json" --set listen.http=here
# Forty characters, as a key has, but none of its alphabet.
key=$(printf '"%.0s' $(seq 40))
expect "cell, key rejected" peerKeys.secret "$entry" \
  --config "$examples/cell/entry-1.json" --set "peerKeys.secret=$key"

# An entry starts without its store and waits for it.
code=0
kill "$running"
wait "$running" || code=$?
running=
echo "cell, store not reachable: exit code $code after SIGTERM"
[ "$code" = 0 ] || red=1
exit $red
