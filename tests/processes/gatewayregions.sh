#!/usr/bin/env bash
# Guards against requests that reach a server in a region which their route does not allow.
# usage: gatewayregions.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
export MORE_SETTINGS='"zoneRegions":{"z":"r","y":"q"},'
deployment_up

# Two servers of each service in the other region.
for i in 4 5; do
    fleet_standin "server-$i" deployedserverstandin "1971$i" --id "i-$i"
done
ZONE=y server 4 pool ready
ZONE=y server 5 app ready
knows() { [ "$(grep -c '"server.found"' "$FLEET_DIR/gateway-$1.out")" = 5 ]; }
for i in 1 2; do
    fleet_until "the new servers at gateway $i" knows "$i"
done

# ran PORT: prints how many requests the server began to run.
ran() { curl -sf "http://$FLEET_IP:$1/journal" | jq '.requests | length'; }
version_is() { grep -q '"configuration.taken".*"version":'"$2" "$FLEET_DIR/gateway-$1.out"; }

# Requests stay in the region of their gateway while it has capacity.
for n in $(seq 1 10); do
    expect "read $n" "$(call 1 "/read/$n")" 200
done
expect "requests in the other region" "$(ran 19715)" 0

# The routes are bound to the other region.
ROUTE_EXTRA=',"allowedRegions":["q"]' configure 5 '["key-1","key-2"]'
for i in 1 2; do
    fleet_until "the bound routes at gateway $i" version_is "$i" 5
done
before=$(($(ran 19711) + $(ran 19712) + $(ran 19713)))
for n in $(seq 1 10); do
    expect "bound read $n" "$(call $((1 + n % 2)) "/read/$n")" 200
    expect "bound stream $n" "$(call 1 "/stream/$n" -H 'Model: m' -H 'Token-Count: 700,40' \
        -H "Prefix-Hash: a$n:500,b$n:200" -d q)" 200
done
expect "requests outside of the region" \
    "$(($(ran 19711) + $(ran 19712) + $(ran 19713)))" "$before"
expect "bound requests" "$(($(ran 19714) + $(ran 19715)))" 20

# Nothing else may run them when the server of the region fails them.
fault 19715 '{"mode":"refuse","count":0}'
expect "a read whose region has no capacity" "$(call 1 /read/none)" 503
expect "runs outside" "$(runs_of /read/none)" 0

# No zone lies in the region.
ROUTE_EXTRA=',"allowedRegions":["nowhere"]' configure 6 '["key-1","key-2"]'
for i in 1 2; do
    fleet_until "the unserved routes at gateway $i" version_is "$i" 6
done
expect "a read that no region may serve" "$(call 1 /read/nowhere)" 503
grep -q '"ran":"no"' "$FLEET_DIR/body" || fleet_fail "not refused: $(cat "$FLEET_DIR/body")"
grep -q '"configuration.region_unknown".*"region":"nowhere"' "$FLEET_DIR/gateway-1.out" \
    || fleet_fail "the unknown region is not logged"
fleet_terminate "${GATEWAYS[@]}" || fleet_fail "a gateway did not exit with 0"
