#!/usr/bin/env bash
# Guards against mixed or falsely complete answers. A model server is killed (SIGKILL) while some
# callers read streams from it and others wait for their first part. No other server has the rest of
# a started stream, so the stream must end with an error event and never with [DONE]; a restart in
# the middle would mix two answers. A request without a part so far is served by the other server.
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
# The server to kill must have running streams. Its journal can be read only while it lives.
running_at() {
    curl -sf "http://$FLEET_IP:$1/journal" | jq '[.requests[] | select(.state == "begun")] | length'
}
killed=1
[ "$(running_at 18731)" -gt 0 ] || killed=2
lost=$(running_at "1873$killed")
[ "$lost" -gt 0 ] || fleet_fail "no stream runs at model-$killed"
survivor=$((3 - killed))

# The server sends nothing from here on, so new requests there get no part before it dies.
fault "1873$killed" '{"mode":"frozen"}'
for ((i = 1; i <= 4; ++i)); do
    start_stream "young-$i" $((i % 3 + 1)) 3
done
has_queued() {
    curl -sf "http://$FLEET_IP:1873$killed/load" | jq -e '.queued > 0' >/dev/null
}
fleet_until "a request without a part at model-$killed" has_queued
curl -sf "http://$FLEET_IP:1873$killed/journal" >"$FLEET_DIR/journal-killed"
killed_pid=${FLEET_PIDS[killed]}
kill -KILL "$killed_pid"
wait "$killed_pid" || true
unset "FLEET_PIDS[killed]"

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
    # An error may say that the request has not run only if no journal has it.
    said=$(sed -n '/^event: error/,$s/^data: //p' "$FLEET_DIR/read-$i.sse" | tr -d '\r')
    curl -sf "http://$FLEET_IP:1873$survivor/journal" >"$FLEET_DIR/journal-survivor"
    id=$(jq -r .requestId <<<"$said")
    ran=$(jq -s --arg id "$id#" '[.[].requests[].requestId | select(startswith($id))] | length' \
        "$FLEET_DIR"/journal-killed "$FLEET_DIR"/journal-survivor)
    [ "$ran" -gt 0 ] || fleet_fail "read-$i is in no journal: $said"
    [ "$(jq -r .error.ran <<<"$said")" = unknown ] || fleet_fail "read-$i: $said"
done
[ "$cut" = "$lost" ] || fleet_fail "$cut streams were cut; model-$killed had $lost"
for ((i = 1; i <= 4; ++i)); do
    wait "${CALLERS[streams + i - 1]}" || fleet_fail "young-$i was cut off"
    check_stream "young-$i" 3
done
for entry in 1 2 3; do
    fleet_answers "$FLEET_IP:1871$entry" \
        || fleet_fail "entry-$entry does not serve with model-$survivor"
done
echo "model-$killed killed: $whole streams complete, $cut with an error event;" \
    "new requests complete"
