#!/usr/bin/env bash
# Builds the stand-ins of cases 4 to 8 into review/build/2, after the build of
# the deploy file: one program for each review/N/scenario.cpp.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${OUT:-review/build/2}
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Werror -Wno-restrict -pthread)
pids=()
for name in http platform entries advisor; do
  g++ "${flags[@]}" -c "review/common-2/$name.cpp" -o "$out/$name.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/[0-9]*/scenario.cpp; do
  case=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out"/{http,platform,entries,advisor}.o \
    -lboost_json -o "$out/case-$case"
done
