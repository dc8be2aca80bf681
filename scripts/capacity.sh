#!/usr/bin/env bash
# Reproduces the slopes of docs/CAPACITY.md: rows, records, whole tables, ticks.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
BUILD_DIR=${BUILD_DIR:-build}
"$BUILD_DIR/capacity_slopes"
"$BUILD_DIR/tick_cost"
