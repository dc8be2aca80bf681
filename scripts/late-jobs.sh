#!/usr/bin/env bash
# Shows by queue what became of the jobs in the logs of all entry daemons of a cell, and in which stage the late ones
# waited. The rows of a queue add up to its accepted jobs; refused jobs that were never accepted are counted apart.
# Usage: scripts/late-jobs.sh [--window SECONDS] LOG...   With a window also by time of acceptance.
set -euo pipefail
window=0
if [ "${1:-}" = --window ]; then window=${2:?seconds}; shift 2; fi
[ $# -gt 0 ] || { echo "usage: scripts/late-jobs.sh [--window SECONDS] LOG..." >&2; exit 2; }
for log in "$@"; do
    [ -r "$log" ] || { echo "$log: cannot be read; expected a file with log lines of entry daemons" >&2; exit 2; }
done

grep -hE 'event=(job_accepted|job_completed|job_overdue|job_failed|job_cancelled|job_reported|call_refused) ' "$@" | awk -v window="$window" '
    function field(name,   at, rest) {
        at = index($0, " " name "=")
        if (!at) return ""
        rest = substr($0, at + length(name) + 2)
        rest = substr(rest, 1, index(rest " ", " ") - 1)
        return rest ~ /^-?[0-9]+$/ ? rest + 0 : rest
    }
    function group(queue, job) { return window ? sprintf("%s %5d s", queue, int(acceptedAt[job] / window) * window) : queue }
    /time_ms=.*time_ms=/ { next } # two lines that were written into each other
    {
        job = field("job"); at = field("time_ms") / 1000
        if (!start) start = at
    }
    /event=job_accepted/ { if (!(job in queueOf)) { queueOf[job] = field("queue"); acceptedAt[job] = at; order[++n] = job } }
    /event=job_completed/ { if (!(job in line)) line[job] = $0 }
    /event=job_overdue/ { if (!(job in overdue)) overdue[job] = field("waits_for") }
    /event=job_failed/ { failed[job] = 1 }
    /event=job_cancelled/ { cancelled[job] = 1 }
    /event=job_reported/ { reported[job] = 1 }
    /event=call_refused/ { refusals[job]++ }
    END {
        count = split("owner earlier_runs advice capacity append order confirmation run", stages, " ")
        split("in_time late too_late ended_line_lost overdue_unfinished unfinished failed cancelled", outcomes, " ")
        for (i = 1; i <= n; ++i) {
            job = order[i]; acceptedAt[job] -= start; key = group(queueOf[job], job)
            if (!(key in keys)) { keys[key] = 1; keyList[++keyCount] = key }
            outcome = job in cancelled ? "cancelled" : job in failed ? "failed" : job in line ? "" : job in reported ? "ended_line_lost" : job in overdue ? "overdue_unfinished" : "unfinished"
            if (outcome == "") {
                $0 = line[job]
                objective = field("objective_ms"); took = field("took_ms")
                outcome = took <= objective ? "in_time" : took <= 3 * objective ? "late" : "too_late"
                longest = 0; cause = "run"
                for (s = 1; s <= count; ++s) {
                    ms = field(stages[s] "_ms"); sum[key, outcome, s] += ms
                    if (stages[s] != "run" && ms > longest) { longest = ms; cause = stages[s] }
                }
                if (field("run_ms") > objective && longest < field("run_ms") - objective) cause = "run"
                if (outcome != "in_time") blame[key, outcome, cause]++
            } else if (outcome == "overdue_unfinished") blame[key, outcome, overdue[job]]++
            total[key]++; amount[key, outcome]++
            if (refusals[job]) refusedFirst[key]++
        }
        for (job in refusals) lost += !(job in queueOf)
        for (k = 1; k <= keyCount; ++k) {
            key = keyList[k]
            printf "%s: %d accepted, %d of them after refusals\n", key, total[key], refusedFirst[key]
            for (o = 1; o <= 8; ++o) {
                outcome = outcomes[o]; if (!amount[key, outcome]) continue
                printf "  %-19s %6d ", outcome, amount[key, outcome]
                for (s = 1; s <= count; ++s) if ((key, outcome, s) in sum) printf " %s %d", stages[s], sum[key, outcome, s] / amount[key, outcome]
                for (s = 1; s <= count; ++s) if (blame[key, outcome, stages[s]]) printf "%s%s: %d", s && !shown++ ? "  | most of it in " : ", ", stages[s], blame[key, outcome, stages[s]]
                shown = 0; printf "\n"
            }
        }
        printf "refused and never accepted: %d jobs\n", lost
    }'
