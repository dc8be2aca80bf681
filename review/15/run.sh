#!/usr/bin/env bash
# Runs the case "large-tasks" of build/review-3/cell, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0 it does the same without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/flamingotally-entry ] && [ -x build/review-3/cell ] || exit 2
work=$(mktemp -d) || exit 2
finish() {
    [ -e "$work/processes" ] && xargs -r kill -9 <"$work/processes" 2>/dev/null
    rm -rf "$work"
}
trap finish EXIT
timeout -k 2 115 build/review-3/cell large-tasks "$work" "$here/record.txt"
result=$?
[ $result -le 1 ] && exit $result
exit 2
