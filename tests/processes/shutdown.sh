#!/usr/bin/env bash
# A customer reads a long answer while operators replace the router that it comes through, and
# other callers still have that router in a list of entry hosts that they may keep for a while.
# SIGTERM arrives, then a second one. Were the router to end before its streams, or refuse callers
# with the old list, an answer would be cut off or a connection refused, only for a restart.
# usage: shutdown.sh BUILD_FOLDER busy|idle LEAVING_ENTRY...; idle: no long stream at the routers
# that leave, so that only the callers with the old list keep them.
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
load=$2
shift 2
leaving=("$@")
. tests/processes/common.sh

tokens=400
fleet_up
pids=()
for entry in "${leaving[@]}"; do
    pids+=("$(router_pid "$entry")")
done
old_list=$(curl -sf "http://$FLEET_IP:18713/v1/entry-hosts")
list_age=$(jq .maxAgeSeconds <<<"$old_list")
[ "$(jq '.hosts | length' <<<"$old_list")" = 3 ] || fleet_fail "the list is $old_list"

# Slow enough that the streams outlast the time in which old lists are served.
for port in 18731 18732; do
    fault "$port" '{"mode":"slow","delayMs":50}'
done
streaming=(1 2 3)
[ "$load" = busy ] || streaming=(3)
for entry in "${streaming[@]}"; do
    start_stream "long-$entry" "$entry" "$tokens"
done
for entry in "${streaming[@]}"; do
    fleet_until "the first token of long-$entry" has_token "long-$entry"
done

for pid in "${pids[@]}"; do
    kill -TERM "$pid"
done
for entry in "${leaving[@]}"; do
    fleet_until "entry-$entry unready" is_unready "$entry"
    fleet_until "entry-$entry gone from the list" lists_without 3 "$entry"
done
for pid in "${pids[@]}"; do
    kill -TERM "$pid"
done

# Callers with the old list, for as long as they may keep it.
until_age=$((SECONDS + list_age))
calls=0
while [ "$SECONDS" -lt "$until_age" ]; do
    calls=$((calls + 1))
    for entry in "${leaving[@]}"; do
        start_stream "late-$entry-$calls" "$entry" 2
        wait "${CALLERS[-1]}" || fleet_fail "entry-$entry did not serve call $calls"
        check_stream "late-$entry-$calls" 2
        [ "$(hold "$entry" "held-$entry-$calls")" = 200 ] \
            || fleet_fail "hold $calls: $(cat "$FLEET_DIR/held-$entry-$calls.answer")"
        [ "$(runs_of "held-$entry-$calls")" = 1 ] || fleet_fail "hold $calls did not run once"
        is_unready "$entry" || fleet_fail "entry-$entry became ready again"
        lists_without 3 "$entry" || fleet_fail "entry-$entry is listed again"
    done
done
[ "$calls" -gt 0 ] || fleet_fail "no caller with an old list"

for i in "${!streaming[@]}"; do
    entry=${streaming[i]}
    wait "${CALLERS[i]}" || fleet_fail "the caller of long-$entry was cut off"
    check_stream "long-$entry" "$tokens"
done
for pid in "${pids[@]}"; do
    status=0
    wait "$pid" || status=$?
    [ "$status" = 0 ] || fleet_fail "a router that left exited with $status"
done
# What is over is no longer ours to stop.
for entry in "${leaving[@]}"; do
    unset "FLEET_PIDS[FLEET_STANDINS + entry - 1]"
done
fleet_answers "$FLEET_IP:18713" || fleet_fail "entry-3 doesn't serve on"
echo "$calls rounds of late calls, all whole; entries ${leaving[*]} exited with 0"
