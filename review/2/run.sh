#!/usr/bin/env bash
# Plays the case "lost-owners"; the exit status is 0 when the rule held, 1 when it was broken, 2 when the case could not run.
# TROUBLE=0 plays it without the disruption.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.."
if [ ! -x target/flamingotally-entry ] || [ ! -x target/review-trial ]; then
    echo "run the build command of deploy/system.toml and review/build.sh first"
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=2 115 target/review-trial lost-owners "$case_dir/record.txt" "$folder"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
