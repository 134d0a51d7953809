#!/usr/bin/env bash
# Guards against the use of a revoked key. A customer's key is revoked while the store answers,
# while it is silent, and while a gateway is suspended. A gateway must not accept the key longer
# than its settings allow. A gateway that cannot know the current keys must not refuse a key as
# unknown: it answers that it is not ready and when to retry.
# usage: gatewaykeys.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

for key in key-1 key-2; do
    KEY=$key expect "a call with $key" "$(KEY=$key call 1 /read/first)" 200
done
expect "customer at the server" "$(jq -r .customer "$FLEET_DIR/body")" dealer
expect "key at the server" "$(jq -r .key "$FLEET_DIR/body")" ""
expect "a call with an unknown key" "$(KEY=none call 1 /read/first)" 401
# Two keys or two ids could be read as those of two customers or two attempts.
for twice in 'Authorization: Bearer key-2' 'Attempt-Id: another'; do
    expect "a second ${twice%%:*}" "$(call 1 /read/twice -H "$twice")" 400
    grep -qi '^Connection: close' "$FLEET_DIR/head" || fleet_fail "no Connection: close"
done
expect "runs with a second key or id" "$(runs_of /read/twice)" 0
expect "an unknown path" "$(call 1 /nothing/here)" 404

# The revoked key is refused, and the other one still works.
configure 9 '["key-1"]'
revoked() { [ "$(KEY=key-2 call "$1" /read/second)" = 401 ]; }
fleet_until "the change at gateway 1" revoked 1
fleet_until "the change at gateway 2" revoked 2
expect "a call with the key that is still valid" "$(call 1 /read/second)" 200

# The store falls silent: its connection stays open but carries nothing. The gateway cannot know
# whether the key is still valid and stops accepting it when its lease ends; the request does not
# run.
fault $STORE '{"mode":"silent"}'
fleet_until "the end of the lease" answers 1 /read/third 503
grep -q '"type":"not_ready"' "$FLEET_DIR/body" \
    || fleet_fail "not the error not_ready: $(cat "$FLEET_DIR/body")"
grep -qi '^Retry-After:' "$FLEET_DIR/head" || fleet_fail "no Retry-After"
before=$(runs_of /read/third)
expect "a second call after the end of the lease" "$(call 1 /read/third)" 503
expect "runs after the end of the lease" "$(runs_of /read/third)" "$before"
fault $STORE '{"mode":"none"}'
fleet_until "the store's return" served 1 /read/third

# The gateway is suspended while the key is revoked. A request already waits in its socket when it
# resumes, before it can have read the change.
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
*) fleet_fail "a revoked key was used: $(cat "$FLEET_DIR/fifth")" ;;
esac
expect "runs with the revoked key" "$(runs_of /read/fifth)" 0
fleet_stop || fleet_fail "a process did not exit with 0"
