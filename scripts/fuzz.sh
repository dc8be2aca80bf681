#!/usr/bin/env bash
# Runs the fuzzer in several processes, each with different seeds, until STEPS steps were checked in total. Prints the
# seeds that failed, and the totals of all processes.
set -euo pipefail
cd "$(dirname "$0")/.."
STEPS=${STEPS:-1000000}
PROCESSES=${PROCESSES:-6}
FIRST_SEED=${FIRST_SEED:-1000}
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for ((n = 0; n < PROCESSES; ++n)); do
    "${BUILD_DIR:-build}/fuzz" --steps $((STEPS / PROCESSES + 1)) --first-seed $((FIRST_SEED + n)) \
        --stride "$PROCESSES" --keep-going >"$out/$n" 2>/dev/null &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
cat "$out"/* | grep -v '^[0-9]* seeds, ' || true
tail -qn 1 "$out"/* | awk '{ for (n = 1; n < NF; ++n) if ($n + 0 == $n) sum[n] += $n }
    END { printf "%d seeds, %d cells, %d steps, %d checks, %d jobs accepted, %d attempts run, %d seeds failed\n",
          sum[1], sum[3], sum[5], sum[7], sum[9], sum[12], sum[15] }'
exit "$status"
