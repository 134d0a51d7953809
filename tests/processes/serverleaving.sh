#!/usr/bin/env bash
# Guards against broken answers when a model server leaves. An operator marks the server as leaving
# and switches it off once its work is done. Routers must send no new work there after the mark, and
# work that runs there already must be completed.
# usage: serverleaving.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/common.sh

# runs_at PORT: prints how many requests the model server began to run.
runs_at() {
    curl -sf "http://$FLEET_IP:$1/journal" | jq '.requests | length'
}

fleet_up
fault 18731 '{"mode":"slow","delayMs":50}'
fault 18732 '{"mode":"slow","delayMs":50}'
for ((i = 1; i <= 6; ++i)); do
    start_stream "before-$i" $((i % 3 + 1)) 100
done
for ((i = 1; i <= 6; ++i)); do
    fleet_until "the first token of before-$i" has_token "before-$i"
done
[ "$(runs_at 18731)" -gt 0 ] || fleet_fail "model-1 had no work before the mark"
curl -sf -X PUT "http://$FLEET_IP:18700/hosts/model-1/state" -d '{"state":"leaving"}' \
    -o "$FLEET_DIR/state" || fleet_fail "the state was not changed"

# Each of the three routers polls the list once a second, so ten reads take a few seconds and
# include reads of every router.
reads() {
    curl -sf "http://$FLEET_IP:18700/counts" | jq .hostReads
}
marked=$(reads)
has_polled() {
    [ "$(reads)" -ge $((marked + 10)) ]
}
fleet_until "the list to be polled" has_polled
for ((i = 1; i <= 6; ++i)); do
    wait "${CALLERS[i - 1]}" || fleet_fail "before-$i was broken off"
    check_stream "before-$i" 100
done
fault 18731 '{"mode":"none"}'
fault 18732 '{"mode":"none"}'
old_1=$(runs_at 18731)
old_2=$(runs_at 18732)
for ((i = 1; i <= 30; ++i)); do
    start_stream "after-$i" $((i % 3 + 1)) 3
    wait "${CALLERS[-1]}" || fleet_fail "after-$i was broken off"
    check_stream "after-$i" 3
done
[ "$(runs_at 18731)" = "$old_1" ] || fleet_fail "model-1 got new work: $old_1, $(runs_at 18731)"
[ "$(runs_at 18732)" = $((old_2 + 30)) ] || fleet_fail "model-2 ran $(runs_at 18732) - $old_2"
echo "30 answers, none of them from the leaving server"
