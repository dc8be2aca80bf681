# Functions that start and stop a small cell on loopback; sourced by the scripts that need one.
# CELL_DIR is the folder of logs, profiles and keys; CELL_DAEMONS is the number of daemons to start; CELL_WORKERS is the
# group of workers to simulate, as count:cpuMilli:memoryMb:accelerators; all ports are offsets from CELL_BASE_PORT.
CELL_DIR=${CELL_DIR:-$(mktemp -d)}
CELL_DAEMONS=${CELL_DAEMONS:-3}
CELL_WORKERS=${CELL_WORKERS:-30:64000:262144:0}
CELL_BASE_PORT=${CELL_BASE_PORT:-20000}
CELL_DOMAINS=(north south west)
CELL_BIN=${BUILD_DIR:-build}
CELL_PIDS=()

cell_http() { echo "127.0.0.1:$((CELL_BASE_PORT + 100 + $1))"; }
cell_peer() { echo "127.0.0.1:$((CELL_BASE_PORT + 200 + $1))"; }
cell_platform() { echo "127.0.0.1:$CELL_BASE_PORT"; }
cell_domain() { echo "${CELL_DOMAINS[$((($1 - 1) % ${#CELL_DOMAINS[@]}))]}"; }

cell_servers() {
    local n all=""
    for n in $(seq 1 "$CELL_DAEMONS"); do all+=",$(cell_http "$n")"; done
    echo "${all:1}"
}

cell_ctl() { FLAMINGOTALLY_KEY=bench-operator "$CELL_BIN/flamingoctl" --server "$(cell_servers)" "$@"; }

# Starts the stand-in for the platform; all arguments are passed to it.
cell_start_platform() {
    local n hosts=()
    for n in $(seq 1 "$CELL_DAEMONS"); do hosts+=(--entry-host "d$n,$(cell_peer "$n"),$(cell_domain "$n")"); done
    "$CELL_BIN/flamingotally-standin" --listen "$(cell_platform)" --first-worker-port $((CELL_BASE_PORT + 300)) \
        --workers "$CELL_WORKERS" "${hosts[@]}" "$@" 2>"$CELL_DIR/standin.log" &
    CELL_PIDS+=($!)
}

# Starts daemon $1; further arguments are passed to it.
cell_start_daemon() {
    local n=$1 digest
    shift
    digest=$(printf bench-operator | sha256sum | cut -d' ' -f1)
    "$CELL_BIN/flamingotallyd" -s "name=d$n" -s "domain=$(cell_domain "$n")" -s "httpAddress=$(cell_http "$n")" \
        -s "peerAddress=$(cell_peer "$n")" -s "logAddress=$(cell_platform)" -s "hostListAddress=$(cell_platform)" \
        -s clusterSecret=a-secret-for-the-bench-only-0123 -s "operatorKeyDigest=$digest" "$@" 2>"$CELL_DIR/d$n.log" &
    CELL_PIDS+=($!)
}

# Waits until every daemon is ready.
cell_wait_ready() {
    local n
    for n in $(seq 1 "$CELL_DAEMONS"); do
        curl -sf --retry 100 --retry-delay 1 --retry-all-errors "http://$(cell_http "$n")/readyz" >/dev/null
    done
}

# Publishes the profile "bench", to which the lines in $1 are added, and sets up a team and its key.
cell_configure() {
    printf 'kind = "batch"\naccess = "keyed"\nurgency = "urgent"\nidempotent = false\n%s\n' "${1:-}" >"$CELL_DIR/bench.toml"
    cell_ctl profile publish bench "$CELL_DIR/bench.toml" >/dev/null
    cell_ctl team set bench --share 1 --cpu-milli 1000000000 --memory-mb 1000000000 --accelerators 100000 \
        --queue-limit 1000000 >/dev/null
    printf bench-submitter >"$CELL_DIR/submitter.key"
    cell_ctl key grant bench --team bench --new-key-file "$CELL_DIR/submitter.key" --wait-everywhere >/dev/null
}

# Stops every process that the functions above have started.
cell_stop() {
    [ "${#CELL_PIDS[@]}" -eq 0 ] && return
    kill "${CELL_PIDS[@]}" 2>/dev/null || true
    wait "${CELL_PIDS[@]}" 2>/dev/null || true
    CELL_PIDS=()
}
