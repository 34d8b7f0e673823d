#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into review/build. Needs only
# the compiler and the Boost headers and libraries of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
pids=()
for source in common/http.cpp common/site.cpp [0-9]*/case.cpp; do
  object=build/$(echo "${source%.cpp}" | tr / -).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in [0-9]*/case.cpp; do
  number=${source%%/*}
  g++ "${flags[@]}" "build/$number-case.o" build/common-http.o \
    build/common-site.o -lboost_json -o "build/case-$number"
done
