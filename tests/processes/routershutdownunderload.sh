#!/usr/bin/env bash
# Guards against a router that never ends its shutdown while callers go on sending: the platform has to
# kill it, which cuts off what is open. It takes new requests for 15 s and then ends with its last
# answer.
# usage: routershutdownunderload.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/common.sh
# 15 s, twice over for a slow machine; each answer takes a fraction of a second.
allowedS=30

fleet_up
router=$(router_pid 1)

# ask N: sends one request after the other to entry-1 until it is gone.
ask() {
    while kill -0 "$router" 2>/dev/null; do
        curl -s --max-time 20 -o "$FLEET_DIR/answer-$1" -w '%{http_code}\n' \
            "http://$FLEET_IP:18711/v1/chat/completions" "${dealer[@]}" \
            -d '{"model":"condition-writer","max_tokens":40,
                 "messages":[{"role":"user","content":"Is it sold?"}]}' \
            >>"$FLEET_DIR/statuses-$1" || true
    done
}
for n in $(seq 8); do
    ask "$n" &
    CALLERS+=($!)
done
answered() { [ "$(cat "$FLEET_DIR"/statuses-* | wc -l)" -ge 50 ]; }
fleet_until "answers" answered

kill -TERM "$router"
end=$((SECONDS + allowedS))
while kill -0 "$router" 2>/dev/null && [ "$SECONDS" -lt "$end" ]; do
    sleep 0.2
done
sort "$FLEET_DIR"/statuses-* | uniq -c
! kill -0 "$router" 2>/dev/null || fleet_fail "the router still runs $allowedS s after SIGTERM"
