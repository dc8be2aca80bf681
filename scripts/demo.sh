#!/usr/bin/env bash
# Sets up the machine, builds, and runs small versions of both users' workloads. The cell has three daemons, one in each
# failure domain, and uses the stand-in for the platform. Prints how many jobs succeeded, how many tasks waited and how
# many requests were refused. Exits with status 1 when a check fails.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${1:-}" = "--no-build" ] || { scripts/setup.sh; scripts/build.sh; }
BIN=$PWD/${BUILD_DIR:-build}
WORK=$(mktemp -d)
declare -A PIDS=()
SERVERS=(127.0.0.1:18081 127.0.0.1:18082 127.0.0.1:18083)
ALL=127.0.0.1:18081,127.0.0.1:18082,127.0.0.1:18083
FAILED=0
SUBMITTED=0 SUCCEEDED=0 REFUSED=0 WAITED=0

stop_all() {
    # The stand-in is stopped last, because each daemon records in the log of the stand-in that it leaves.
    for name in north south west standin; do
        [ -n "${PIDS[$name]:-}" ] || continue
        kill "${PIDS[$name]}" 2>/dev/null || true
        [ "$name" != west ] || wait "${PIDS[north]}" "${PIDS[south]}" "${PIDS[west]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$WORK"
}
trap stop_all EXIT

say() { printf '\n== %s\n' "$*"; }
check() { # text, command...
    local text=$1
    shift
    if "$@"; then echo "holds: $text"; else echo "DOES NOT HOLD: $text"; FAILED=$((FAILED + 1)); fi
}
start() { # name, command...
    local name=$1
    shift
    "$@" >"$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
}
as() { # key, flamingoctl arguments...
    local key=$1
    shift
    FLAMINGOTALLY_KEY=$key "$BIN/flamingoctl" --server "${SERVER:-$ALL}" "$@"
}
operator() { as 'example operator key' "$@"; }
field() { awk -v name="$1:" '$1 == name { print $2 }'; }
wait_ready() {
    for _ in $(seq 150); do
        curl -sf "http://$1/readyz" >/dev/null && return 0
        sleep 0.2
    done
    echo "$1 is not ready"
    return 1
}
run() { # count, key, submit arguments...: submits jobs one by one, waits for the end of each, counts the successes
    local count=$1 key=$2
    shift 2
    for _ in $(seq "$count"); do
        SUBMITTED=$((SUBMITTED + 1))
        local outcome
        outcome=$(as "$key" submit --wait-ms 20000 "$@" 2>>"$WORK/errors" | field outcome) || true
        [ "$outcome" = succeeded ] && SUCCEEDED=$((SUCCEEDED + 1))
    done
    return 0
}
refused() { # expected exit code, text, flamingoctl arguments after the key...
    local code=$1 text=$2 got=0
    shift 2
    as "$@" >"$WORK/out" 2>"$WORK/refusal" || got=$?
    sed 's/^/   /' "$WORK/refusal"
    REFUSED=$((REFUSED + 1))
    check "$text" [ "$got" = "$code" ]
}
equal() { [ "$1" = "$2" ] || { echo "   expected $2, found $1"; return 1; }; }

say "Starting the stand-in for the platform, and one daemon in each of three failure domains"
start standin "$BIN/flamingotally-standin" --listen 127.0.0.1:18070 --first-worker-port 18200 \
    --domains north,south,west --workers 6:16000:32768:0 --workers 3:64000:131072:8 \
    --entry-host entry-north,127.0.0.1:18181,north --entry-host entry-south,127.0.0.1:18182,south \
    --entry-host entry-west,127.0.0.1:18183,west
for domain in north south west; do
    start "$domain" "$BIN/flamingotallyd" --config "examples/$domain.toml"
done
for server in "${SERVERS[@]}"; do wait_ready "$server"; done
operator daemons

say "Setting up teams, keys and profiles"
operator team set association --share 3 --cpu-milli 120000 --memory-mb 250000 --accelerators 12 >/dev/null
operator team set gilded-vane --share 2 --cpu-milli 100000 --memory-mb 200000 --accelerators 12 >/dev/null
for team in association gilded-vane; do
    echo "key of $team" >"$WORK/$team.key"
    operator key grant "$team-key" --team "$team" --new-key-file "$WORK/$team.key" >/dev/null
done
for file in examples/profiles/*.toml; do
    operator profile publish "$(basename "$file" .toml)" "$file" >/dev/null
done
check "every daemon has applied the configuration" \
    operator team set association --queue-limit 500 --wait-everywhere
operator profile list

say "Association: booking holds, availability checks and previews"
run 8 'key of association' --profile booking --cpu-milli 500 --memory-mb 256 --payload '{"runMs":40,"result":"held"}'
run 4 '' --profile availability --cpu-milli 250 --memory-mb 128 --payload '{"runMs":20,"result":"free"}'
run 1 'key of association' --profile preview --count 6 --cpu-milli 4000 --memory-mb 8192 --accelerators 2 \
    --payload '{"runMs":600,"result":"preview"}'

say "Gilded Vane: quotes, layouts, a render of three members, patina checks"
run 6 'key of gilded-vane' --profile quote --cpu-milli 500 --memory-mb 256 --payload '{"runMs":40,"result":"quote"}'
run 1 'key of gilded-vane' --profile plan --count 5 --cpu-milli 2000 --memory-mb 2048 --payload '{"runMs":300}'
run 1 'key of gilded-vane' --profile render --count 3 --cpu-milli 16000 --memory-mb 16384 --accelerators 4 \
    --payload '{"runMs":800,"resultBytes":20000}'
patina=$(as 'key of gilded-vane' submit --profile patina --count 3 --cpu-milli 1000 --memory-mb 512 \
    --payload '{"service":true}' | field id)
sleep 1
as 'key of gilded-vane' status "$patina"
check "all requests have succeeded" equal "$SUCCEEDED" "$SUBMITTED"

say "Submitting the same request id to two daemons at once"
id=$(as 'key of association' submit --profile booking --cpu-milli 500 --memory-mb 256 --payload '{"runMs":10}' | field id)
id=${id%????}$(printf %04x $((RANDOM)))
both=(submit --id "$id" --profile booking --cpu-milli 500 --memory-mb 256 --wait-ms 10000 --payload '{"runMs":100}')
SERVER=${SERVERS[0]} as 'key of association' "${both[@]}" >"$WORK/one" &
first=$!
SERVER=${SERVERS[1]} as 'key of association' "${both[@]}" >"$WORK/two"
wait "$first"
check "both callers receive the same job id" equal "$(field id <"$WORK/one")" "$(field id <"$WORK/two")"
check "the job ran once" equal "$(curl -s http://127.0.0.1:18070/v1/journal | grep -o "$id" | wc -l)" 1

say "Submitting requests that must be refused, each with a reason"
refused 3 "a task that is too large for every worker is refused" \
    'key of association' submit --profile booking --cpu-milli 9000000 --memory-mb 256
refused 5 "an unknown profile is refused" 'key of association' submit --profile none --cpu-milli 500
refused 4 "an unknown key is refused" 'no such key' submit --profile booking --cpu-milli 500
refused 4 "another team's profile is refused" 'key of association' submit --profile quote --cpu-milli 500
refused 6 "a configuration change that expects an old version is refused" \
    'example operator key' team set association --share 4 --expected-version 1

say "Submitting more tasks than the limit of a team allows"
hold=$(as 'key of gilded-vane' submit --profile plan --count 10 --cpu-milli 15000 --memory-mb 1024 \
    --payload '{"runMs":1500}' | field id)
sleep 0.7
as 'key of gilded-vane' explain "$hold"
WAITED=$(as 'key of gilded-vane' status "$hold" | field waiting)
check "tasks beyond the limit wait" [ "${WAITED:-0}" -gt 0 ]
check "the waiting tasks run eventually" as 'key of gilded-vane' watch "$hold"

say "Taking the failure domain south out of service, and returning it"
operator domain out south --wait-everywhere
as 'key of association' submit --profile booking --cpu-milli 500 --memory-mb 256 --wait-ms 5000 --payload '{"runMs":10}' >/dev/null
batch=$(SERVER=${SERVERS[1]} as 'key of association' submit --profile preview --count 12 --cpu-milli 2000 --memory-mb 1024 \
    --payload '{"runMs":3000}' | field id)
sleep 1.5
as 'key of association' status "$batch" >"$WORK/out-of-south"
check "no task is placed in south" equal "$(awk '$5 == "south"' "$WORK/out-of-south" | wc -l)" 0
check "work continues in other domains" [ "$(awk '$2 == "placed"' "$WORK/out-of-south" | wc -l)" -gt 0 ]
operator domain list
operator domain in south --wait-everywhere
spread=$(as 'key of gilded-vane' submit --profile patina --count 6 --cpu-milli 1000 --memory-mb 512 \
    --payload '{"service":true}' | field id)
sleep 1.5
check "tasks are placed in south again" [ "$(as 'key of gilded-vane' status "$spread" | awk '$5 == "south"' | wc -l)" -gt 0 ]

say "Planned stop of one daemon under load"
: >"$WORK/stop.codes"
for n in $(seq 20); do
    { code=0; SERVER=${SERVERS[2]},${SERVERS[0]} as 'key of association' submit --profile booking --cpu-milli 100 \
        --memory-mb 64 --wait-ms 8000 --payload '{"runMs":300}' >/dev/null || code=$?; echo $code >>"$WORK/stop.codes"; } &
done
sleep 0.2
kill -TERM "${PIDS[west]}"
wait "${PIDS[west]}" || true
for _ in $(seq 100); do [ "$(wc -l <"$WORK/stop.codes")" = 20 ] && break; sleep 0.1; done
check "no request failed during the stop" equal "$(grep -c '^0$' "$WORK/stop.codes")" 20

say "Withdrawing a key"
operator key withdraw association-key --wait-everywhere
for SERVER in "${SERVERS[@]:0:2}"; do
    refused 4 "the withdrawn key is refused at $SERVER" 'key of association' submit --profile booking --cpu-milli 500
done
unset SERVER

say "Summary"
operator top
operator history --most 8
printf '\nplaced and succeeded: %s of %s jobs; waited at the limit: %s tasks; refused as expected: %s requests\n' \
    "$SUCCEEDED" "$SUBMITTED" "$WAITED" "$REFUSED"
if [ "$FAILED" -gt 0 ]; then
    echo "$FAILED checks did not hold; errors and logs follow"
    cat "$WORK/errors" 2>/dev/null || true
    tail -n 5 "$WORK"/*.log
    exit 1
fi
echo "all checks hold"
