#!/usr/bin/env bash
# Builds everything with the address and undefined-behaviour sanitizers into build-sanitized/, and runs all tests there, or the
# suite or test that the first argument names. Run by hand.
set -euo pipefail
cd "$(dirname "$0")/.."
SANITIZED_DIR=${SANITIZED_DIR:-build-sanitized}
cmake -S . -B "$SANITIZED_DIR" -G Ninja -DFLAMINGOTALLY_SANITIZE=ON >/dev/null
cmake --build "$SANITIZED_DIR" --target flamingotally-tests
"$SANITIZED_DIR/flamingotally-tests" "$@"
