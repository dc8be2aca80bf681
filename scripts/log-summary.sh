#!/usr/bin/env bash
# Summarizes the log lines of entry daemons: how long jobs waited at each step, what was refused and what was lost.
# Usage: scripts/log-summary.sh LOG...
set -euo pipefail
[ $# -gt 0 ] || { echo "usage: scripts/log-summary.sh LOG..." >&2; exit 2; }
for log in "$@"; do
    [ -r "$log" ] || { echo "$log: cannot be read; expected a file with log lines of entry daemons" >&2; exit 2; }
done

# Prints the count, the median and the 95th and 99th percentile of the numbers on standard input.
percentiles() {
    sort -n | awk -v name="$1" '
        { it[NR] = $1 }
        function at(part) { n = int(NR * part); return it[n < 1 ? 1 : n] }
        END { if (NR > 0) printf "%-34s %7d %8d %8d %8d\n", name, NR, at(0.5), at(0.95), at(0.99) }'
}

# Prints the numbers of a field in the lines of one kind of event.
field() {
    grep -h "event=$1 " "${logs[@]}" | grep -o " $2=[0-9-]*" | cut -d= -f2 || true
}

logs=("$@")
printf '%-34s %7s %8s %8s %8s\n' "step, in ms" lines p50 p95 p99
field job_accepted waited_ms | percentiles "accepted and stored"
field run_placed answered_after_ms | percentiles "answer of the policy service"
field run_placed waited_ms | percentiles "open until placed"
field load journal_age_ms | percentiles "age of the journal's view"
field load longest_tick_ms | percentiles "longest tick"
field load typical_response_ms | percentiles "typical response of a worker"
field run_lost silent_ms | percentiles "silence before a lost run"
echo
echo "events other than those of calm operation:"
grep -ho 'event=[a-z_]*' "${logs[@]}" | grep -vE '=(job_accepted|job_completed|run_placed|run_ended|load|started|config_applied)$' \
    | sort | uniq -c | sort -rn || true
echo
echo "refused or undecided calls by cause:"
grep -hE 'event=call_(refused|undecided) ' "${logs[@]}" | grep -o 'cause="[^"]*"' | sort | uniq -c | sort -rn || true
