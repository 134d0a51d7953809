#!/usr/bin/env bash
# Guards against deposit holds that run twice, or never, when a pool's home router is lost. The home
# is the router that queues the pool's requests and grants their permits to run. Holds arrive at the
# two other routers faster than the application server runs them, so they wait at the home, which
# then dies (SIGKILL) or freezes (SIGSTOP). A hold that the lost home has dispatched and that the
# new home dispatches again would run twice, also after the old home resumes. Every caller must get
# an answer.
# usage: homelost.sh BUILD_FOLDER KILL|STOP
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
how=$2
. tests/processes/common.sh

holds=30
fleet_up
# The spans of the first call name the home.
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
# all_ran_once: fails unless every hold was answered with 200 and ran exactly once.
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
        fleet_until "all three routers at entry-$entry" fleet_is_ready "$FLEET_IP:1871$entry" 3
    done
    # Once the resumed router has served a new call, it has finished its earlier work.
    [ "$(hold "$home" woken)" = 200 ] \
        || fleet_fail "hold at the resumed router: $(cat "$FLEET_DIR/woken.answer")"
    [ "$(runs_of woken)" = 1 ] || fleet_fail "the hold at the resumed router did not run once"
    all_ran_once
fi
echo "home entry-$home: all $((2 * holds)) holds answered and run once"
