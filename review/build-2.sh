#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
for source in "$root"/review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -o "$root/target/review-2/case-$number" "$source" -lboost_json -pthread &
done
for job in $(jobs -p); do
    wait "$job"
done
