#!/usr/bin/env bash
# A model server is killed (SIGKILL) while customers read streams from it and others wait for their
# first part. A reader may get the rest from nowhere else, so the stream must end with an error
# event, never with [DONE]; who has got no part yet may be served whole by the other server. Were
# a stream begun anew in the middle, the reader would get two answers mixed.
# usage: modelserverkilled.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/common.sh

tokens=100
streams=6
fleet_up
fault 18731 '{"mode":"slow","delayMs":50}'
fault 18732 '{"mode":"slow","delayMs":50}'
for ((i = 1; i <= streams; ++i)); do
    start_stream "read-$i" $((i % 3 + 1)) "$tokens"
done
for ((i = 1; i <= streams; ++i)); do
    fleet_until "the first token of read-$i" has_token "read-$i"
done
# The server killed is one that has streams running; what it ran is known only before.
running_at() {
    curl -sf "http://$FLEET_IP:$1/journal" | jq '[.requests[] | select(.state == "begun")] | length'
}
victim=1
[ "$(running_at 18731)" -gt 0 ] || victim=2
lost=$(running_at "1873$victim")
[ "$lost" -gt 0 ] || fleet_fail "no stream runs at model-$victim"
survivor=$((3 - victim))

# Says nothing before it dies, so what goes there now has got no part yet.
fault "1873$victim" '{"mode":"frozen"}'
for ((i = 1; i <= 4; ++i)); do
    start_stream "young-$i" $((i % 3 + 1)) 3
done
has_queued() {
    curl -sf "http://$FLEET_IP:1873$victim/load" | jq -e '.queued > 0' >/dev/null
}
fleet_until "a request without a part at model-$victim" has_queued
curl -sf "http://$FLEET_IP:1873$victim/journal" >"$FLEET_DIR/journal-killed"
victim_pid=${FLEET_PIDS[victim]}
kill -KILL "$victim_pid"
wait "$victim_pid" || true
unset "FLEET_PIDS[victim]"

whole=0
cut=0
for ((i = 1; i <= streams; ++i)); do
    wait "${CALLERS[i - 1]}" || true
    if has_end "read-$i"; then
        check_stream "read-$i" "$tokens"
        whole=$((whole + 1))
        continue
    fi
    grep -q '^event: error' "$FLEET_DIR/read-$i.sse" || fleet_fail "read-$i: no error event"
    cut=$((cut + 1))
    # Only what no journal has may be called not run.
    said=$(sed -n '/^event: error/,$s/^data: //p' "$FLEET_DIR/read-$i.sse" | tr -d '\r')
    curl -sf "http://$FLEET_IP:1873$survivor/journal" >"$FLEET_DIR/journal-survivor"
    id=$(jq -r .requestId <<<"$said")
    ran=$(jq -s --arg id "$id#" '[.[].requests[].requestId | select(startswith($id))] | length' \
        "$FLEET_DIR"/journal-killed "$FLEET_DIR"/journal-survivor)
    [ "$ran" -gt 0 ] || fleet_fail "read-$i is in no journal: $said"
    [ "$(jq -r .error.ran <<<"$said")" = unknown ] || fleet_fail "read-$i: $said"
done
[ "$cut" = "$lost" ] || fleet_fail "$cut streams were cut; model-$victim had $lost"
for ((i = 1; i <= 4; ++i)); do
    wait "${CALLERS[streams + i - 1]}" || fleet_fail "young-$i was cut off"
    check_stream "young-$i" 3
done
for entry in 1 2 3; do
    fleet_answers "$FLEET_IP:1871$entry" \
        || fleet_fail "entry-$entry doesn't serve by model-$survivor"
done
echo "model-$victim killed: $whole streams whole, $cut with an error event, the young ones whole"
