#!/usr/bin/env bash
# Checks the format of every source file; with --fix, rewrites them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs -r clang-format "${mode[@]}"
