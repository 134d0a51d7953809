#!/usr/bin/env bash
# Callers see whole answers, or failures that are true, while backend servers fail: one stops in
# the middle of an event, one has no room, one answers for another request, one loses the answer
# to a call that may run once only.
# usage: gatewayserverfails.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

# The server of a stream crashes in the middle of an event; the other one goes on with it, in the
# same answer, after the last whole event.
for port in 19711 19712; do
    fault $port '{"mode":"cut","afterEvents":3,"count":1}'
done
expect "a stream whose server crashed" "$(call 1 /stream/a "${prompt[@]}")" 200
is_whole_stream 8 /stream/a || fleet_fail "not whole: $(cat "$FLEET_DIR/body")"
[ "$(runs_of /stream/a)" -ge 2 ] || fleet_fail "nothing was cut"
for port in 19711 19712; do
    fault $port '{"mode":"none"}'
done

# A server that has no room did not run the request: another one does, once.
fault 19711 '{"mode":"refuse","count":4}'
for i in 1 2 3 4; do
    expect "a stream beside a full server" "$(call 1 "/stream/full-$i" "${prompt[@]}")" 200
    expect "runs of it" "$(runs_of "/stream/full-$i")" 1
done
fault 19711 '{"mode":"none"}'

# The only application server has no room: nothing has run, and the answer says so.
fault 19713 '{"mode":"refuse"}'
expect "a call without room" "$(call 1 /once/refused -d x)" 503
grep -q '"ran":"no"' "$FLEET_DIR/body" || fleet_fail "no promise: $(cat "$FLEET_DIR/body")"
expect "runs of it" "$(runs_of /once/refused)" 0
fault 19713 '{"mode":"none"}'

# The answer to a call that runs at most once is lost: it is not sent again and nothing is promised.
fault 19713 '{"mode":"cut","count":1}'
expect "a call whose answer was lost" "$(call 1 /once/lost -d x)" 502
grep -q '"ran":"unknown"' "$FLEET_DIR/body" || fleet_fail "a promise: $(cat "$FLEET_DIR/body")"
expect "runs of it" "$(runs_of /once/lost)" 1

# An answer to somebody else's request is skipped, and the own one is waited for up to the route's
# timeout; one without the server's signature is not passed on.
fault 19713 '{"mode":"crossed","count":1}'
expect "a crossed answer" "$(call 1 /once/crossed -d x)" 504
fault 19713 '{"mode":"unsigned","count":1}'
expect "an unsigned answer" "$(call 1 /once/unsigned -d x)" 502

# A server's own failure is passed on as it is.
fault 19713 '{"mode":"error","count":1}'
expect "a failure of the server" "$(call 1 /once/error -d x)" 500
grep -qi '^Server-Stamp: stamp-of-i-3' "$FLEET_DIR/head" || fleet_fail "not the server's failure"

# A call that may be repeated is sent again.
fault 19713 '{"mode":"cut","count":1}'
expect "a read whose answer was lost" "$(call 1 /read/lost)" 200
# On a busy machine a slow attempt is repeated too, up to the route's three.
case "$(runs_of /read/lost)" in
2 | 3) ;;
*) fleet_fail "ran $(runs_of /read/lost) times" ;;
esac

# An address is given to another server: the request that expected the old one does not run there.
server 1 pool draining
server 2 pool draining
put servers i-9 '{"service":"pool","address":"'"$FLEET_IP"':19711","zone":"z","version":"v1",
    "slots":8,"state":"ready","sequence":1,"coldRemainingMs":0,
        "born":1764700000000}'
fleet_until "the new entry" answers 1 /stream/moving 503
expect "a request at the address of another server" "$(call 1 /stream/moved "${prompt[@]}")" 503
expect "runs of it" "$(runs_of /stream/moved)" 0
fleet_stop || fleet_fail "a process did not end well"
