#!/usr/bin/env bash
# Measures every policy with the same workloads and seeds, at several loads and with an outage of a failure domain, and
# writes docs/measurements.csv. Runs JOBS measurements at a time. The two-year workload runs with the policy share only.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD_DIR=${BUILD_DIR:-build}
JOBS=${JOBS:-4}
parts=$(mktemp -d)
trap 'rm -rf "$parts"' EXIT
list_runs() {
    for workload in association gilded-vane; do
        for policy in share fifo first-fit random; do
            for load in 0.5 1 2; do echo "$workload $policy $load"; done
            echo "$workload $policy 1 --domain-out"
        done
    done
    for load in 1 2; do echo "two-year share $load"; done
}
run_one() {
    local workload=$1 policy=$2 load=$3
    "$BUILD_DIR/measure" --workload "bench/workloads/$workload.toml" --policy "$policy" --load "$load" ${4:-} \
        --csv "$parts/$workload-$policy-$load${4:-}.csv" >/dev/null
}
export BUILD_DIR parts
export -f run_one
list_runs | xargs -P "$JOBS" -L 1 bash -c 'run_one "$@"' run_one
{
    echo "workload,policy,load,scenario,measure,subject,value,unit"
    cat "$parts"/*.csv
} >docs/measurements.csv
