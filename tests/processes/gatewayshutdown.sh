#!/usr/bin/env bash
# A gateway is told to stop while a stream runs. It is not ready any more and out of the other's
# list at once, the stream comes out whole, callers who still come are served, and it exits with 0.
# usage: gatewayshutdown.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

for port in 19711 19712; do
    fault $port '{"mode":"slow","delayMs":300}'
done
curl -sN --max-time 20 -o "$FLEET_DIR/stream" "http://$FLEET_IP:19721/stream/long" \
    -H 'Host: cars.example' -H 'Deadline-Ms: 15000' -H 'Attempt-Id: long' \
    -H 'Authorization: Bearer key-1' "${prompt[@]}" &
caller=$!
fleet_until "the first event" grep -q 'id: 1' "$FLEET_DIR/stream"
kill "${GATEWAYS[1]}"
not_ready() { ! is_ready 1; }
fleet_until "not ready" not_ready
fleet_until "out of the list" lists_gateways 2 1
expect "a caller that still comes" "$(call 1 /read/late)" 200
grep -qi '^Connection: close' "$FLEET_DIR/head" || fleet_fail "the connection is not ended"
wait $caller || fleet_fail "the stream was cut"
cp "$FLEET_DIR/stream" "$FLEET_DIR/body"
is_whole_stream 8 /stream/long || fleet_fail "not whole: $(cat "$FLEET_DIR/body")"
wait "${GATEWAYS[1]}" || fleet_fail "exit status $?"
FLEET_PIDS=("${FLEET_PIDS[@]:0:FLEET_STANDINS}" "${GATEWAYS[2]}")
fleet_stop || fleet_fail "a process did not end well"
