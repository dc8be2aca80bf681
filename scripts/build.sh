#!/usr/bin/env bash
# Builds everything into build/ (or the folder named by BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
cmake -S . -B "$BUILD_DIR" -G Ninja >/dev/null
cmake --build "$BUILD_DIR"
