#!/usr/bin/env bash
# Guards against a request that ends one server after the other, over its caller's tries and hosts.
# usage: requestendsservers.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

# The servers of the pool end as soon as they run the request for /stream/deadly.
servers=(4 5 6 7 8)
first=${#FLEET_PIDS[@]}
for i in "${servers[@]}"; do
    fleet_standin "server-$i" deployedserverstandin "1971$i" --id "i-$i" --exit-on /stream/deadly
    server "$i" pool ready
done
for i in 1 2; do
    server "$i" pool draining
done
knows() { [ "$(grep -c '"server.found"' "$FLEET_DIR/gateway-$1.out")" = 8 ]; }
left() { [ "$(grep -c '"server.leaving"' "$FLEET_DIR/gateway-$1.out")" = 2 ]; }
for i in 1 2; do
    fleet_until "the new servers at gateway $i" knows "$i"
    fleet_until "the leaving servers at gateway $i" left "$i"
done

# The caller tries again after each failure, also at the other gateway.
statuses=()
for gateway in 1 1 2 2 1 2; do
    statuses+=("$(call "$gateway" /stream/deadly "${prompt[@]}")")
done
ended=0
for pid in "${FLEET_PIDS[@]:first}"; do
    kill -0 "$pid" 2>/dev/null || ended=$((ended + 1))
done
expect "servers that ended under the request" "$ended" 3
expect "answers to the request" "${statuses[*]}" "502 502 502 502 502 502"
grep -q '"ran":"unknown"' "$FLEET_DIR/body" \
    || fleet_fail "the answer denies that the request ran: $(cat "$FLEET_DIR/body")"

# The servers that are left serve other requests, alike but for the path.
for gateway in 1 2; do
    expect "another request" "$(call "$gateway" /stream/other "${prompt[@]}")" 200
done
fleet_terminate "${GATEWAYS[@]}" || fleet_fail "a gateway did not exit with 0"
