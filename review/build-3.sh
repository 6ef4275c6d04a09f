#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15 into target/review-3/. Runs after the build of the deploy
# file and needs no further packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/lab-3/*.cpp; do
  "${CXX:-g++}" -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-3/$(basename "$source" .cpp)" "$source"
done
