#!/usr/bin/env bash
# Guards against answers that are lost in a shutdown. A gateway is told to stop while a stream runs.
# It must become unready and leave the other gateway's list at once, complete the stream, serve
# callers that still arrive, and exit with 0.
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
fleet_until "gateway-1 not ready" not_ready
fleet_until "gateway-1 out of the list" lists_gateways 2 1
expect "a call during the shutdown" "$(call 1 /read/late)" 200
grep -qi '^Connection: close' "$FLEET_DIR/head" || fleet_fail "the connection is not closed"
wait $caller || fleet_fail "the stream was broken off"
cp "$FLEET_DIR/stream" "$FLEET_DIR/body"
is_whole_stream 8 /stream/long || fleet_fail "the stream is not complete: $(cat "$FLEET_DIR/body")"
wait "${GATEWAYS[1]}" || fleet_fail "exit status $?"
FLEET_PIDS=("${FLEET_PIDS[@]:0:FLEET_STANDINS}" "${GATEWAYS[2]}")
fleet_stop || fleet_fail "a process did not exit with 0"
