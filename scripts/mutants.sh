#!/usr/bin/env bash
# Tests that the scenarios and the fuzzer detect faults: applies one fault (mutant) at a time to a scratch copy of the
# source, builds the copy, and runs the scenarios and a short fuzzing run. Prints the result of each mutant and how many
# mutants were caught. The arguments name the mutants to run; without arguments, all of them run.
set -euo pipefail
cd "$(dirname "$0")/.."
SCRATCH=${SCRATCH:-$(mktemp -d)}
STEPS=${STEPS:-6000}
cp -r CMakeLists.txt src tests bench scenarios scripts "$SCRATCH"/
sed -i "s/ -Werror//" "$SCRATCH/CMakeLists.txt"
for folder in apps standin platform; do [ -d "$folder" ] && cp -r "$folder" "$SCRATCH"/; done

# name | file | text | replacement. A | within a field is written as \|.
MUTANTS=(
    'capacity|src/attempt.cpp|return Reason::WorkerFull;|(void)0;'
    'limit|src/attempt.cpp|Reason::None : Reason::TeamLimit|Reason::None : Reason::None'
    'domain_out|src/attempt.cpp|return Reason::DomainOutOfService;|(void)0;'
    'leaving|src/attempt.cpp|return Reason::WorkerLeaving;|break;'
    'key_withdrawn|src/job.cpp|if (grant.withdrawn)|if (false)'
    'repeated_id|src/job_cmd.cpp|return isSame ? Reason::RequestRepeated : Reason::RequestIdReused;|(void)isSame;'
    'unknown_is_not_run|src/systems/response.cpp|Reason::OutcomeUnknown|Reason::LogUnavailable'
    'version_not_tested|src/team_cmd.cpp|== command.expectedVersion ? Reason::None : Reason::VersionConflict|+ 1 > 0 ? Reason::None : Reason::VersionConflict'
    'lapse_at_once|src/systems/lease_expiry.cpp|m_time.now - row.lapsingReadAt >= wait|wait >= Milliseconds{0}'
    'cut_on_shutdown|src/systems/lifecycle.cpp|if (isDone(node, time))|if (isDone(node, time) \|\| true)'
    'retry_non_idempotent|src/attempt.cpp|!profileSpec.idempotent|false'
    'fence_ignored|src/systems/freshness.cpp|time.now - view.freshAt < node.settings.fence|true'
    'batch_applied_twice|src/command.cpp|return Reason::BatchRepeated;|(void)0;'
)

caught=0
run=0
for mutant in "${MUTANTS[@]}"; do
    IFS='|' read -r name file text replacement <<<"${mutant//\\|/$'\x01'}"
    replacement=${replacement//$'\x01'/|}
    [ $# -gt 0 ] && [[ " $* " != *" $name "* ]] && continue
    run=$((run + 1))
    if ! grep -qF "$text" "$file"; then
        echo "$name: the text to replace is not in $file"
        continue
    fi
    TEXT=$text REPLACEMENT=$replacement perl -pe 's/\Q$ENV{TEXT}\E/$ENV{REPLACEMENT}/g' "$file" >"$SCRATCH/$file"
    cmake -S "$SCRATCH" -B "$SCRATCH/build" -G Ninja >/dev/null
    if ! cmake --build "$SCRATCH/build" --target scenario --target fuzz >"$SCRATCH/log" 2>&1; then
        echo "$name: does not build"
    elif ! "$SCRATCH/build/scenario" "$SCRATCH"/scenarios/*.toml >"$SCRATCH/log" 2>&1; then
        echo "$name: caught by $(grep -c FAILS "$SCRATCH/log") scenarios"
        caught=$((caught + 1))
    elif ! "$SCRATCH/build/fuzz" --steps "$STEPS" --first-seed 11 >"$SCRATCH/log" 2>&1; then
        echo "$name: caught by the fuzzer"
        caught=$((caught + 1))
    else
        echo "$name: NOT caught"
    fi
    cp "$file" "$SCRATCH/$file"
done
echo "$caught of $run mutants caught"
[ "$caught" -eq "$run" ]
