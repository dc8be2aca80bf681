#!/usr/bin/env bash
# Measures a cell of real processes on loopback. Bytes are counted on the whole loopback device, so nothing else may use
# it during a measurement.
#   load RATE SECONDS DAEMONS...   starts, latencies and appends per second at a steady rate, for each number of daemons
#   idle SECONDS DAEMONS           processor time, memory and bytes per second of one daemon without load
#   busy RATE SECONDS DAEMONS      the same under load, and bytes per start
# Bytes include the headers of IP and TCP or UDP. The bytes of the whole cell are divided by its number of daemons: an
# exchange with the platform or a worker counts fully for one daemon, one between two daemons counts half for each.
set -euo pipefail
cd "$(dirname "$0")/.."
SERVER_SETTINGS=${SERVER_SETTINGS:-}

start_cell() {
    CELL_DAEMONS=$1
    CELL_DIR=$(mktemp -d)
    CELL_PIDS=()
    cell_start_platform --appends-per-second "${APPENDS_PER_SECOND:-500}" --append-latency-ms 10
    local n
    for n in $(seq 1 "$CELL_DAEMONS"); do
        # shellcheck disable=SC2086
        cell_start_daemon "$n" $SERVER_SETTINGS
    done
    cell_wait_ready
    cell_configure
    sleep 3
}

# Prints the sum of a metric over all daemons, read from /metrics.
metric_sum() {
    local n
    for n in $(seq 1 "$CELL_DAEMONS"); do
        curl -s "http://$(cell_http "$n")/metrics" | awk -v name="$1" '$1 == name { print $2 }'
    done | awk '{ sum += $1 } END { printf "%d", sum }'
}

lo_bytes() { awk '/lo:/ { print $2 }' /proc/net/dev; }

# Print the processor time of the first daemon in milliseconds, and its resident memory in kB.
cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' "/proc/${CELL_PIDS[1]}/stat"; }
rss_kb() { awk '/VmRSS/ { print $2 }' "/proc/${CELL_PIDS[1]}/status"; }

run_load() {
    "$CELL_BIN/end_to_end" --servers "$(cell_servers)" --platform "$(cell_platform)" --key bench-submitter \
        --rate "$1" --seconds "$2"
}

load() {
    local rate=$1 seconds=$2 daemons before
    shift 2
    for daemons in "$@"; do
        echo "== $daemons daemons, $rate submissions a second for $seconds s"
        start_cell "$daemons"
        before=$(metric_sum flamingotally_appends_total)
        run_load "$rate" "$seconds"
        awk -v n=$(($(metric_sum flamingotally_appends_total) - before)) -v s="$seconds" \
            'BEGIN { printf "appends a second %.1f\n", n / s }'
        cell_stop
    done
}

# Prints the cost of a daemon over a span: $1 is its length in seconds; $2 and $3 are the readings of lo_bytes and cpu_ms
# at its start.
cost() {
    awk -v s="$1" -v bytes=$(($(lo_bytes) - $2)) -v cpu="$(cpu_ms)" -v cpu0="$3" -v rss="$(rss_kb)" \
        -v n="$CELL_DAEMONS" 'BEGIN { printf "one daemon: %.2f%% of a core, %.1f MB resident, %.2f KB/s\n",
            (cpu - cpu0) / s / 10, rss / 1024, bytes / s / n / 1000 }'
}

idle() {
    echo "== $2 daemons idle for $1 s"
    start_cell "$2"
    local bytes cpu
    bytes=$(lo_bytes)
    cpu=$(cpu_ms)
    sleep "$1"
    cost "$1" "$bytes" "$cpu"
    cell_stop
}

busy() {
    echo "== $3 daemons at $1 submissions a second for $2 s"
    start_cell "$3"
    local bytes cpu appended
    bytes=$(lo_bytes)
    cpu=$(cpu_ms)
    appended=$(metric_sum flamingotally_appended_bytes_total)
    run_load "$1" "$2"
    cost "$2" "$bytes" "$cpu"
    awk -v b=$(($(lo_bytes) - bytes)) -v a=$(($(metric_sum flamingotally_appended_bytes_total) - appended)) \
        -v n="$(awk "BEGIN { print $1 * $2 }")" \
        'BEGIN { printf "a start: %.0f bytes on the network, %.0f bytes in the log\n", b / n, a / n }'
    cell_stop
}

. scripts/cell.sh
trap cell_stop EXIT
"$@"
