#!/usr/bin/env bash
# Measures the figures from which docs/CAPACITY.md is derived: the cost of rows, records, all tables and ticks.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
BUILD_DIR=${BUILD_DIR:-build}
"$BUILD_DIR/capacity_slopes"
"$BUILD_DIR/tick_cost"
