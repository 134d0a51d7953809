#!/usr/bin/env bash
# Guards against requests to a server that has announced in an answer that it leaves, while its entry
# in the store still says that it is ready.
# usage: serverleavingnotice.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

fault 19711 '{"mode":"leaving"}'
for i in $(seq 1 40); do
    expect "stream $i" "$(stream "$i")" 200
done
expect "requests of gateway 1 at the leaving server of the pool" "$(met 19711)" 1

# The entry is written anew, still as ready, and read by the gateway.
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

# The answer that announces it is delivered; no server of the application remains.
fault 19713 '{"mode":"leaving"}'
expect "the call that is told" "$(call 1 /read/1)" 200
for i in $(seq 2 10); do
    expect "call $i" "$(call 1 "/read/$i")" 503
done
expect "requests of gateway 1 at the leaving server of the application" "$(met 19713)" 1
fleet_stop || fleet_fail "a process did not exit with 0"
