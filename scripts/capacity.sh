#!/usr/bin/env bash
# Reproduces the figures from which docs/CAPACITY.md is derived: rows, records, all tables, ticks.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
BUILD_DIR=${BUILD_DIR:-build}
"$BUILD_DIR/capacity_slopes"
"$BUILD_DIR/tick_cost"
