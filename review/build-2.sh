#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  g++ -std=c++20 -O2 -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
