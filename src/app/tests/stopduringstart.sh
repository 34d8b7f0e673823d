#!/usr/bin/env bash
# Guards against an entry that is told to stop while it starts and ends as if it
# had crashed: the start is held up by settings that are a pipe, which the entry
# has opened, but to which nothing is written. SIGHUP must not end it at all.
set -euo pipefail
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
mkfifo "$folder/settings"

# Ends an entry by the signals given while it starts; prints its exit code.
code_after() {
  local pid code=0 signal
  "$1" --config "$folder/settings" &
  pid=$!
  # Opening the pipe waits until the entry reads from it.
  exec 3>"$folder/settings"
  for signal in "${@:2}"; do
    kill "-$signal" "$pid"
  done
  wait "$pid" || code=$?
  exec 3>&-
  echo "$code"
}

red=0
for signals in TERM INT "HUP TERM" "USR1 TERM"; do
  # Split into words on purpose.
  # shellcheck disable=SC2086
  code=$(code_after "$1" $signals)
  echo "$signals: exit code $code"
  [ "$code" = 0 ] || red=1
done
exit $red
