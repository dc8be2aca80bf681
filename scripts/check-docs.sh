#!/usr/bin/env bash
# Runs the indented commands of a page as they are written, in order, and stops at the first failure.
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
echo "every command of $1 ran"
