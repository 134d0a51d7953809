#!/usr/bin/env bash
# The settings file of a running gateway changes without a signal, then with one, and then into a
# file that is malformed. The gateway must apply the valid changes, keep the last valid settings
# when the file is malformed, and serve callers throughout.
# usage: gatewayreload.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

# list_age_is SECONDS: whether the list of gateways may be kept for SECONDS.
list_age_is() {
    [ "$(curl -sf "http://$FLEET_IP:19741/-/resolve?name=cars.example&region=r&zone=z" \
        | jq .ttlS)" = "$1" ]
}
# change SECONDS: changes the age in the settings file.
change() {
    sed -i "s/\"entryListMaxAgeS\":[0-9]*,//; s/\"bounds\":{/\"bounds\":{\"entryListMaxAgeS\":$1,/" \
        "$FLEET_DIR/gateway-1.json"
}

fleet_until "the initial age" list_age_is 2
change 4
fleet_until "the change without a signal" list_age_is 4
change 3
kill -HUP "${GATEWAYS[1]}"
fleet_until "the change with a signal" list_age_is 3
echo '{"host":' >"$FLEET_DIR/gateway-1.json"
kill -HUP "${GATEWAYS[1]}"
fleet_until "the refusal in the log" grep -q '"event":"process.reload","changed":false,"faults":1' \
    "$FLEET_DIR/gateway-1.out"
fleet_until "the last valid age" list_age_is 3
expect "a call" "$(call 1 /read/x)" 200
fleet_stop || fleet_fail "a process did not exit with 0"
