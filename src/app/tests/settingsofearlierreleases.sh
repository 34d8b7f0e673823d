#!/usr/bin/env bash
# Guards against an entry that does not start after an upgrade, since whoever
# fills in the deployment's template does not know a placeholder that is new:
# settingsofearlierreleases.sh ENTRY SOURCE_FOLDER
set -euo pipefail
entry=$1 source=$2
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT

# The placeholders that every filler knows. This list does not grow: a new
# setting has a default, and the deploy file sets it on the command line.
fill_in() {
  sed -e 's/{{node_name}}/edge-1/; s/{{zone}}/zone-1/; s/{{ip}}/127.0.0.1/' \
    -e 's/{{bind_addresses\.front}}/127.0.0.1:8340/' \
    -e 's/{{bind_addresses\.readiness}}/127.0.0.1:8343/' \
    -e 's/{{internal_ports\.0}}/7000/' \
    -e 's/{{platform\.address}}/127.0.0.1:8344/' \
    -e 's/{{cloud_api\.address}}/127.0.0.1:8345/' \
    -e 's/{{recommendation}}/127.0.0.1:8346/' \
    -e 's/{{limits\.cpu_share|json}}/0.25/' \
    -e 's/{{limits\.link_mbps|json}}/1000.0/' \
    -e 's/{{bounds\.hold_max_ms|json}}/6000/' \
    -e 's/{{bounds\.status_s|json}}/120/' \
    -e 's/{{bounds\.gang_timeout_ms|json}}/3000/' \
    -e 's/{{bounds\.lease_ms|json}}/3000/' \
    -e 's/{{bounds\.far_x|json}}/3/' \
    -e 's/{{bounds\.move_s|json}}/1.5/' \
    -e 's/{{bounds\.maintenance_s|json}}/2/' \
    -e 's/{{bounds\.grace_s|json}}/6/' \
    -e 's/{{#bounds\.evacuate_ms}}.*{{\/bounds\.evacuate_ms}}/0/' "$1"
}

red=0
check() {
  local name=$1
  shift
  if "$entry" --check "$@" >"$folder/out" 2>&1; then
    echo "$name: starts"
  else
    echo "$name: does not start"
    cat "$folder/out"
    red=1
  fi
}

fill_in "$source/deploy/entry.json" >"$folder/entry.json"
if grep -n '{{' "$folder/entry.json"; then
  echo "deploy/entry.json: an earlier filler leaves these placeholders"
  red=1
fi
check "template, file alone" --config "$folder/entry.json"

# The words of the deploy file's command line behind --config PATH.
read -r -a words < <(sed -n 's/^run = .*--config [^ ]* \(.*\)"$/\1/p' \
  "$source/deploy/system.toml" |
  sed -e 's/{{platform\.value_bytes}}/1048576/' \
    -e 's/{{bounds\.config_apply_ms}}/2000/')
check "template, command line of the deploy file" \
  --config "$folder/entry.json" "${words[@]}"

for file in "$source"/src/app/tests/settings/*.json; do
  check "$(basename "$file")" --config "$file"
done
exit $red
