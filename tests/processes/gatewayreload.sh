#!/usr/bin/env bash
# The settings file of a running gateway changes: without a signal, with one, and into something that
# is no settings file. What may change is taken, the last is left out, and callers notice nothing.
# usage: gatewayreload.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

list_age_is() {
    [ "$(curl -sf "http://$FLEET_IP:19741/-/resolve?name=cars.example&region=r&zone=z" \
        | jq .ttlS)" = "$1" ]
}
change() {
    sed -i "s/\"entryListMaxAgeS\":[0-9]*,//; s/\"bounds\":{/\"bounds\":{\"entryListMaxAgeS\":$1,/" \
        "$FLEET_DIR/gateway-1.json"
}

fleet_until "the first age" list_age_is 2
change 4
fleet_until "the change without a signal" list_age_is 4
change 3
kill -HUP "${GATEWAYS[1]}"
fleet_until "the change with a signal" list_age_is 3
echo '{"host":' >"$FLEET_DIR/gateway-1.json"
kill -HUP "${GATEWAYS[1]}"
fleet_until "the refusal in the log" grep -q '"event":"process.reload","changed":false,"faults":1' \
    "$FLEET_DIR/gateway-1.out"
fleet_until "the last good age" list_age_is 3
expect "a call" "$(call 1 /read/x)" 200
fleet_stop || fleet_fail "a process did not end well"
