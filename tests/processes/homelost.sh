#!/usr/bin/env bash
# Deposit holds come in faster than the application server takes them, so they wait in the queue of
# the pool's home router, though their callers are at the two others. The home dies (SIGKILL) or
# freezes (SIGSTOP) with the queue in it. Each caller must get an answer; a hold that the lost home
# had let go, and that the new home lets go again, would run twice, also once the old one wakes.
# usage: homelost.sh BUILD_FOLDER KILL|STOP
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
how=$2
. tests/processes/common.sh

holds=30
fleet_up
# The span of a first call names the home.
request=$(curl -sf -D - -o "$FLEET_DIR/first" "${dealer[@]}" -d '{}' \
    "http://$FLEET_IP:18711/v1/services/deposits/price/1" | tr -d '\r' \
    | sed -n 's/^X-Request-Id: //p')
names_home() {
    fleet_path "$request" | grep -q 'queue@entry-'
}
fleet_until "the spans of $request" names_home
home=$(fleet_path "$request" | sed -n 's/.*queue@entry-\([0-9]\).*/\1/p')
entries=()
for entry in 1 2 3; do
    [ "$entry" = "$home" ] || entries+=("$entry")
done
pid=$(router_pid "$home")

fault 18741 '{"mode":"slow","delayMs":700}'
for entry in "${entries[@]}"; do
    for ((i = 1; i <= holds; ++i)); do
        hold "$entry" "held-$entry-$i" >"$FLEET_DIR/held-$entry-$i.status" &
        CALLERS+=($!)
    done
done
has_waiting() {
    curl -sf "http://$FLEET_IP:1871$home/v1/status" | jq -e '.waitingHere > 0' >/dev/null
}
fleet_until "work waiting at entry-$home" has_waiting
kill "-$how" "$pid"
if [ "$how" = KILL ]; then
    wait "$pid" || true
    unset "FLEET_PIDS[FLEET_STANDINS + home - 1]"
fi

for caller in "${CALLERS[@]}"; do
    wait "$caller" || fleet_fail "a caller was left without an answer"
done
all_ran_once() {
    local entry i
    for entry in "${entries[@]}"; do
        for ((i = 1; i <= holds; ++i)); do
            [ "$(cat "$FLEET_DIR/held-$entry-$i.status")" = 200 ] || fleet_fail "held-$entry-$i:" \
                "$(cat "$FLEET_DIR/held-$entry-$i.status" "$FLEET_DIR/held-$entry-$i.answer")"
            [ "$(runs_of "held-$entry-$i")" = 1 ] \
                || fleet_fail "held-$entry-$i ran $(runs_of "held-$entry-$i") times"
        done
    done
}
all_ran_once

if [ "$how" = STOP ]; then
    kill -CONT "$pid"
    for entry in 1 2 3; do
        fleet_until "entry-$entry to see all" fleet_is_ready "$FLEET_IP:1871$entry" 3
    done
    # What the woken router still had in hand is over once it serves a call of its own.
    [ "$(hold "$home" woken)" = 200 ] || fleet_fail "woken: $(cat "$FLEET_DIR/woken.answer")"
    [ "$(runs_of woken)" = 1 ] || fleet_fail "the woken router's call did not run once"
    all_ran_once
fi
echo "home entry-$home: all $((2 * holds)) holds answered and run once"
