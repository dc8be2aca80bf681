#!/usr/bin/env bash
# Runs the commands that are indented on a page of the documentation, in order, and stops at the first that fails.
# Usage: scripts/check-docs.sh docs/OPERATIONS.md
set -euo pipefail
cd "$(dirname "$0")/.."
commands=$(mktemp)
trap 'rm -f "$commands"' EXIT
{
    echo 'set -euo pipefail'
    echo 'trap '\''for it in $(jobs -p | tac); do kill "$it" && wait "$it" || true; done'\'' EXIT'
    grep '^    ' "$1" | cut -c5-
} >"$commands"
bash "$commands"
echo "every command of $1 succeeded"
