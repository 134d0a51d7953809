#!/usr/bin/env bash
# Guards against requests to a server that has turned a gateway away and asked for a pause.
# usage: serverbackoff.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

# The pause outlasts the test, and each call ends before the next one begins, so that nothing
# depends on how long anything takes.
refusal='{"mode":"refuse","retryAfter":"600"}'
fault 19711 "$refusal"
for i in $(seq 1 40); do
    expect "stream $i" "$(stream "$i")" 200
done
expect "requests of gateway 1 at a server of the pool" "$(met 19711)" 1

fault 19713 "$refusal"
for i in $(seq 1 20); do
    expect "call $i" "$(call 1 "/read/$i")" 503
    # The longest time that callers are told, since other servers may come.
    expect "retry time of call $i" "$(jq .error.retryAfterMs "$FLEET_DIR/body")" 30000
done
expect "requests of gateway 1 at the only server of the application" "$(met 19713)" 1

# An entry that vanishes and returns unchanged is of the same server.
put servers i-1 null
gone() { grep -q '"server.gone","server":"i-1@' "$FLEET_DIR/gateway-1.out"; }
fleet_until "the loss of the entry" gone
server 1 pool ready
found() { [ "$(grep -c '"server.found","server":"i-1@' "$FLEET_DIR/gateway-1.out")" = 2 ]; }
fleet_until "the return of the entry" found
for i in $(seq 41 60); do
    expect "stream $i" "$(stream "$i")" 200
done
expect "requests of gateway 1 after the entry returned" "$(met 19711)" 1
fleet_stop || fleet_fail "a process did not exit with 0"
