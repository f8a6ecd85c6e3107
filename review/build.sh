#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Needs g++ and nlohmann-json3-dev, which the
# build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for trial in review/[1-5]/trial.cpp; do
  name=$(basename "$(dirname "$trial")")
  g++ -std=c++20 -O2 -Wall -Wextra -Ireview/standins -o "target/review/trial-$name" \
    "$trial" review/standins/*.cpp -pthread &
done
for job in $(jobs -p); do
  wait "$job"
done
