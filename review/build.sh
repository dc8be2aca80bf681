#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O2 -Wall -Wextra -pthread review/standin/trial.cpp -o target/review-trial -lboost_json
