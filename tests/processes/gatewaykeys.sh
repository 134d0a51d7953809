#!/usr/bin/env bash
# A customer's key is taken away while the store answers, while it is silent, and while a gateway is
# suspended. In none of them does a gateway use the key longer than its settings allow, and a
# gateway that cannot know denies nothing: it says when to come back.
# usage: gatewaykeys.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

for key in key-1 key-2; do
    KEY=$key expect "a call with $key" "$(KEY=$key call 1 /read/first)" 200
done
expect "the customer's name reached the server" "$(jq -r .customer "$FLEET_DIR/body")" dealer
expect "the key did not" "$(jq -r .key "$FLEET_DIR/body")" ""
expect "a call with no key" "$(KEY=none call 1 /read/first)" 401
expect "an unknown path" "$(call 1 /nothing/here)" 404

# The key goes: refused, and the other one still works.
configure 9 '["key-1"]'
revoked() { [ "$(KEY=key-2 call "$1" /read/second)" = 401 ]; }
fleet_until "the change at gateway 1" revoked 1
fleet_until "the change at gateway 2" revoked 2
expect "the key that stays" "$(call 1 /read/second)" 200

# The store falls silent: the connection stays open and says nothing. Nobody can know whether the
# key is still good, so after a while it is not used; the request has not run.
fault $STORE '{"mode":"silent"}'
fleet_until "the end of the lease" answers 1 /read/third 503
grep -q '"type":"not_ready"' "$FLEET_DIR/body" || fleet_fail "not so: $(cat "$FLEET_DIR/body")"
grep -qi '^Retry-After:' "$FLEET_DIR/head" || fleet_fail "no time to come back"
before=$(runs_of /read/third)
expect "and still" "$(call 1 /read/third)" 503
expect "runs after the end of the lease" "$(runs_of /read/third)" "$before"
fault $STORE '{"mode":"none"}'
fleet_until "the store's return" served 1 /read/third

# The gateway is suspended while the key goes. The request is in its socket when it wakes, before
# it can have heard of anything.
kill -STOP "${GATEWAYS[1]}"
configure 12 '[]'
fleet_until "the change at gateway 2" answers 2 /read/fourth 401
call 1 /read/fifth >"$FLEET_DIR/fifth" &
caller=$!
sleep 3.2
kill -CONT "${GATEWAYS[1]}"
wait $caller
case "$(cat "$FLEET_DIR/fifth")" in
401 | 503) ;;
*) fleet_fail "a key that was taken away was used: $(cat "$FLEET_DIR/fifth")" ;;
esac
expect "runs with the key" "$(runs_of /read/fifth)" 0
fleet_stop || fleet_fail "a process did not end well"
