#!/usr/bin/env bash
# Builds the programs of cases 9 to 13, after the build of the deploy file: one
# for each review/N/driver.cpp, with the stand-ins of review/common-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${OUT:-review/build/3}
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Werror -Wno-restrict -pthread)
pids=()
for name in http record platform entries; do
  g++ "${flags[@]}" -c "review/common-3/$name.cpp" -o "$out/$name.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/[0-9]*/driver.cpp; do
  case=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out"/{http,record,platform,entries}.o \
    -lboost_json -o "$out/case-$case"
done
