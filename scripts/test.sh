#!/usr/bin/env bash
# Sets up the machine, builds, checks the format and the use of the platform's names, lints, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
scripts/format.sh
scripts/check-words.sh
scripts/lint.sh
"${BUILD_DIR:-build}/flamingotally-tests"
