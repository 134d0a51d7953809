#!/usr/bin/env bash
# Guards against incomplete answers and false error messages while backend servers fail: one stops
# in the middle of an event, one is full, one answers another request, and one loses the answer to a
# call that may run only once.
# usage: gatewayserverfails.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

# The server of a stream crashes in the middle of an event. The other server continues the same
# answer after the last complete event.
for port in 19711 19712; do
    fault $port '{"mode":"cut","afterEvents":3,"count":1}'
done
expect "a stream whose server crashed" "$(call 1 /stream/a "${prompt[@]}")" 200
is_whole_stream 8 /stream/a || fleet_fail "the stream is not complete: $(cat "$FLEET_DIR/body")"
[ "$(runs_of /stream/a)" -ge 2 ] || fleet_fail "no server crashed"
for port in 19711 19712; do
    fault $port '{"mode":"none"}'
done

# A full server does not run the request; another one runs it once.
fault 19711 '{"mode":"refuse","count":4}'
for i in 1 2 3 4; do
    expect "a stream beside a full server" "$(call 1 "/stream/full-$i" "${prompt[@]}")" 200
    expect "runs of it" "$(runs_of "/stream/full-$i")" 1
done
fault 19711 '{"mode":"none"}'

# The only application server is full. The request has not run, and the answer says so.
fault 19713 '{"mode":"refuse"}'
expect "a call at a full server" "$(call 1 /once/refused -d x)" 503
grep -q '"ran":"no"' "$FLEET_DIR/body" \
    || fleet_fail "the answer does not say that the call has not run: $(cat "$FLEET_DIR/body")"
expect "runs of it" "$(runs_of /once/refused)" 0
fault 19713 '{"mode":"none"}'

# The answer to a call that runs at most once is lost. The call is not sent again, and the answer
# says that it may have run.
fault 19713 '{"mode":"cut","count":1}'
expect "a call whose answer was lost" "$(call 1 /once/lost -d x)" 502
grep -q '"ran":"unknown"' "$FLEET_DIR/body" \
    || fleet_fail "the answer does not say that the call may have run: $(cat "$FLEET_DIR/body")"
expect "runs of it" "$(runs_of /once/lost)" 1

# The gateway skips an answer to another request and waits for the right one up to the route's
# timeout. It does not pass on an answer without the server's stamp.
fault 19713 '{"mode":"crossed","count":1}'
expect "an answer to another request" "$(call 1 /once/crossed -d x)" 504
fault 19713 '{"mode":"unsigned","count":1}'
expect "an answer without a stamp" "$(call 1 /once/unsigned -d x)" 502

# An error of the server itself is passed on unchanged.
fault 19713 '{"mode":"error","count":1}'
expect "an error of the server" "$(call 1 /once/error -d x)" 500
grep -qi '^Server-Stamp: stamp-of-i-3' "$FLEET_DIR/head" || fleet_fail "not the error of the server"

# A repeatable call is retried.
fault 19713 '{"mode":"cut","count":1}'
expect "a read whose answer was lost" "$(call 1 /read/lost)" 200
# On a busy machine a slow attempt is retried too, up to the route's three attempts.
case "$(runs_of /read/lost)" in
2 | 3) ;;
*) fleet_fail "ran $(runs_of /read/lost) times" ;;
esac

# An address is reused by another server. A request that expects the old server does not run there.
server 1 pool draining
server 2 pool draining
put servers i-9 '{"service":"pool","address":"'"$FLEET_IP"':19711","zone":"z","version":"v1",
    "slots":8,"state":"ready","sequence":1,"coldRemainingMs":0,
        "born":1764700000000}'
fleet_until "the new entry" answers 1 /stream/moving 503
expect "a request at the address of another server" "$(call 1 /stream/moved "${prompt[@]}")" 503
expect "runs of it" "$(runs_of /stream/moved)" 0
fleet_stop || fleet_fail "a process did not exit with 0"
