#!/usr/bin/env bash
# Guards against answers and connections that are lost when a router is restarted. Callers read long
# streams through the routers that leave, and other callers may keep using the list of entry hosts
# that names these routers until it expires. The routers get SIGTERM, and later a second one. They
# must not exit before their streams end and before the old lists have expired.
# usage: shutdown.sh BUILD_FOLDER busy|idle LEAVING_ENTRY...
#   idle: the leaving routers have no long stream, so only callers with an old list need them.
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

# The streams must last longer than callers may use the old list.
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

# Callers use the old list until it expires.
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
[ "$calls" -gt 0 ] || fleet_fail "no call was made with the old list"

for i in "${!streaming[@]}"; do
    entry=${streaming[i]}
    wait "${CALLERS[i]}" || fleet_fail "the stream long-$entry was broken off"
    check_stream "long-$entry" "$tokens"
done
for pid in "${pids[@]}"; do
    status=0
    wait "$pid" || status=$?
    [ "$status" = 0 ] || fleet_fail "a router that left exited with $status"
done
# These processes have exited, so fleet_cleanup must not signal their ids.
for entry in "${leaving[@]}"; do
    unset "FLEET_PIDS[FLEET_STANDINS + entry - 1]"
done
fleet_answers "$FLEET_IP:18713" || fleet_fail "entry-3 does not serve any more"
echo "$calls rounds of late calls, all complete; entries ${leaving[*]} exited with 0"
