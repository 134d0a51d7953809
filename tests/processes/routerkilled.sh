#!/usr/bin/env bash
# A router is killed (SIGKILL) while it forwards a stream to one caller and waits for another
# caller's deposit hold. The reader of the stream must be able to tell that the answer is
# incomplete. The other caller gets no answer and retries with the same key at another router. If
# the key were free there, the deposit would be held twice, since the application server still runs
# the first call.
# usage: routerkilled.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/common.sh

fleet_up
# This hold finishes before the failure. Its answer is stored, and other routers must return it.
[ "$(hold 1 before)" = 200 ] || fleet_fail "hold: $(cat "$FLEET_DIR/before.answer")"
cp "$FLEET_DIR/before.answer" "$FLEET_DIR/before.first"

fault 18731 '{"mode":"slow","delayMs":50}'
fault 18732 '{"mode":"slow","delayMs":50}'
fault 18741 '{"mode":"slow","delayMs":3000,"count":1}'
start_stream cut 1 200
cut_caller=${CALLERS[-1]}
start_stream other 2 200
other_caller=${CALLERS[-1]}
hold 1 during >"$FLEET_DIR/during.status" &
CALLERS+=($!)
hold_caller=$!
fleet_until "the first token of cut" has_token cut
fleet_until "the first token of other" has_token other
runs_once() {
    [ "$(runs_of "$1")" = 1 ]
}
fleet_until "the hold to run" runs_once during

killed=$(router_pid 1)
kill -KILL "$killed"
status=0
wait "$killed" || status=$?
[ "$status" = 137 ] || fleet_fail "entry-1 ended with $status"
unset "FLEET_PIDS[FLEET_STANDINS]"

status=0
wait "$cut_caller" || status=$?
[ "$status" != 0 ] || fleet_fail "the caller of the killed router saw a regular end of the stream"
! has_end cut || fleet_fail "the broken stream has [DONE]"
[ "$(stream_tokens cut)" -lt 200 ] || fleet_fail "the stream was complete before the router died"
wait "$hold_caller" || true
[ "$(cat "$FLEET_DIR/during.status")" = 000 ] || fleet_fail "the hold got an answer"

# The hold is retried at once, and again after its first run has ended.
# check_retry ENTRY: fails unless the retry is refused since the key is in use.
check_retry() {
    local got
    got=$(hold "$1" during)
    [ "$got" = 409 ] || fleet_fail "retry: $got $(cat "$FLEET_DIR/during.answer")"
    jq -e '.error.type == "key_in_progress" and .error.ran == "unknown"' \
        "$FLEET_DIR/during.answer" >/dev/null \
        || fleet_fail "retry: $(cat "$FLEET_DIR/during.answer")"
}
first_ended() {
    curl -sf "http://$FLEET_IP:18741/journal" | jq -e \
        'any(.requests[]; .idempotencyKey == "during" and .state == "finished")' >/dev/null
}
check_retry 2
check_retry 3
fleet_until "the end of the first run" first_ended
check_retry 2
check_retry 3
[ "$(runs_of during)" = 1 ] || fleet_fail "the hold ran $(runs_of during) times"

for entry in 2 3; do
    [ "$(hold "$entry" before)" = 200 ] || fleet_fail "the stored answer is gone"
    cmp -s "$FLEET_DIR/before.answer" "$FLEET_DIR/before.first" \
        || fleet_fail "not the stored answer: $(cat "$FLEET_DIR/before.answer")"
done
[ "$(runs_of before)" = 1 ] || fleet_fail "the finished hold ran again"

wait "$other_caller" || fleet_fail "the stream of entry-2 was broken off"
check_stream other 200
for entry in 2 3; do
    fleet_until "entry-1 gone from entry-$entry" lists_without "$entry" 1
    fleet_answers "$FLEET_IP:1871$entry" || fleet_fail "entry-$entry does not serve"
    [ "$(hold "$entry" "after-$entry")" = 200 ] \
        || fleet_fail "hold at entry-$entry: $(cat "$FLEET_DIR/after-$entry.answer")"
    [ "$(runs_of "after-$entry")" = 1 ] || fleet_fail "a later hold did not run once"
done
echo "stream broken off after $(stream_tokens cut) tokens; the hold ran once"
