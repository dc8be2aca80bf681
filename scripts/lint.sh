#!/usr/bin/env bash
# Lints every source file, or the files given as arguments. Skips a file that has passed before, unless the file, its
# headers or .clang-tidy have changed since then.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
LINT_CACHE=${LINT_CACHE:-$HOME/.cache/flamingotally-lint}
mkdir -p "$LINT_CACHE"
cmake -S . -B "$BUILD_DIR" -G Ninja >/dev/null
export BUILD_DIR LINT_CACHE
lint_one() {
    local file=$1 key
    key=$({ cat .clang-tidy; g++ -std=c++20 -E -P -Isrc -Itests -Istandin -Iapps/flamingotallyd -Iapps/flamingoctl "$file" 2>/dev/null; } \
        | sha256sum | cut -d' ' -f1)
    [ -e "$LINT_CACHE/$key" ] && return 0
    if clang-tidy -p "$BUILD_DIR" --quiet "$file" 2>/dev/null; then
        touch "$LINT_CACHE/$key"
    else
        echo "lint failed: $file"
        return 1
    fi
}
export -f lint_one
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp'); fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
