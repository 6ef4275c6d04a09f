#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's scripts into target/review/. They use no code of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++17 -O1 -Wall -Wextra)
pids=()
for source in review/lab/*.cpp; do
    g++ "${flags[@]}" -c -o "target/review/$(basename "$source" .cpp).o" "$source" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
for source in review/lab/*.cpp; do
    name=$(basename "$source" .cpp)
    case "$name" in Loop | Platform | Script) continue ;; esac
    g++ -o "target/review/$name" "target/review/$name.o" target/review/{Loop,Platform,Script}.o
done
