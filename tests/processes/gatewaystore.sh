#!/usr/bin/env bash
# The store has lost its history of changes, then loses answers, then is down and returns without
# the servers' entries. Callers must be served throughout, and accepted changes must take effect.
# usage: gatewaystore.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

in_force() { answers "$1" "/$2/x" 200; }

fault $STORE '{"mode":"historyGone"}'
configure 20 '["key-1"]'
gone() { [ "$(KEY=key-2 call "$1" /read/a)" = 401 ]; }
fleet_until "the change without history" gone 1
fault $STORE '{"mode":"none"}'

fault $STORE '{"mode":"loseAnswers","count":6}'
configure 23 '["key-1","key-3"]'
added() { [ "$(KEY=key-3 call "$1" /read/b)" = 200 ]; }
fleet_until "the change after lost answers" added 1
fleet_until "the change after lost answers" added 2

# The servers' entries vanish while the store is down, so its first answers name no server.
fault $STORE '{"mode":"down"}'
fleet_until "the loss of the store at gateway 1" grep -q store.lost "$FLEET_DIR/gateway-1.out"
for i in 1 2 3; do
    put servers "i-$i" null
done
returned=$(date +%s%3N)
fault $STORE '{"mode":"none"}'
fleet_until "the return of the store at gateway 1" grep -q store.regained "$FLEET_DIR/gateway-1.out"
expect "a call right after the return" "$(call 1 /read/c)" 200
server 3 app ready
# A gateway keeps servers with a missing entry for two seconds. On a busy machine the entry may be
# written later than that; the server then counts as gone until its entry is read.
if [ $(($(date +%s%3N) - returned)) -ge 2000 ]; then
    fleet_until "the late entry" answers 1 /read/c 200
fi
expect "a call after the entry is back" "$(call 1 /read/c)" 200

# Servers whose entry does not return count as gone after two seconds.
gone_server() { grep -q '"server.gone","server":"i-1@1764700000000"' "$FLEET_DIR/gateway-1.out"; }
fleet_until "server 1 is gone" gone_server
expect "a call to a pool without servers" "$(call 1 /stream/x "${prompt[@]}")" 503
expect "a call to the server that came back" "$(call 1 /read/d)" 200
fleet_stop || fleet_fail "a process did not exit with 0"
