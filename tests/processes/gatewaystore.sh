#!/usr/bin/env bash
# The store refuses, forgets its history, loses answers and comes back without the servers' entries.
# Callers are served all the while, and a change that was accepted comes into force after each.
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

# Entries lapse while the store is down; its first answers show no server at all.
fault $STORE '{"mode":"down"}'
fleet_until "the loss at gateway 1" grep -q store.lost "$FLEET_DIR/gateway-1.out"
for i in 1 2 3; do
    put servers "i-$i" null
done
returned=$(date +%s%3N)
fault $STORE '{"mode":"none"}'
fleet_until "the return at gateway 1" grep -q store.regained "$FLEET_DIR/gateway-1.out"
expect "a call right after" "$(call 1 /read/c)" 200
server 3 app ready
# On a busy machine the entry may come later than the two seconds for which missing ones are kept:
# the server then counts as gone, as one that does not come back, until its entry is read.
if [ $(($(date +%s%3N) - returned)) -ge 2000 ]; then
    fleet_until "the entry that came late" answers 1 /read/c 200
fi
expect "and with the entry back" "$(call 1 /read/c)" 200

# Servers that do not come back are gone two seconds later.
gone_server() { grep -q '"server.gone","server":"i-1@1764700000000"' "$FLEET_DIR/gateway-1.out"; }
fleet_until "server 1 is gone" gone_server
expect "no server of the pool" "$(call 1 /stream/x "${prompt[@]}")" 503
expect "the one that came back" "$(call 1 /read/d)" 200
fleet_stop || fleet_fail "a process did not end well"
