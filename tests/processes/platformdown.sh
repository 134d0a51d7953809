#!/usr/bin/env bash
# The platform is down for a while. Streamed answers must go on. A deposit hold cannot be claimed,
# that is, its key cannot be recorded before the hold runs, so its caller must be told at once that
# it has not run and when to retry. Then the platform executes the write of a claim but loses the
# answer: a router that treats this as a refusal would block the key for its own caller, one that
# starts again would run the hold twice.
# usage: platformdown.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/common.sh

# targets_of ENTRY: prints the version and the targets that the router has.
targets_of() {
    curl -sf "http://$FLEET_IP:1871$1/v1/targets" | jq -cS '[.version, .targets]'
}

fleet_up
before=$(targets_of 1)
[ "$(jq '.[1] | length' <<<"$before")" -gt 0 ] || fleet_fail "no targets: $before"
fault 18700 '{"mode":"down"}'
for ((round = 1; round <= 10; ++round)); do
    for entry in 1 2 3; do
        name="$entry-$round"
        start_stream "down-$name" "$entry" 5
        wait "${CALLERS[-1]}" || fleet_fail "entry-$entry did not answer while the platform is down"
        check_stream "down-$name" 5
        got=$(curl -s --max-time 20 -D "$FLEET_DIR/head" -o "$FLEET_DIR/refused" \
            -w '%{http_code}' "${dealer[@]}" -H 'X-Lagoonmast-Repeatable: no' \
            -H "Idempotency-Key: refused-$name" -d '{}' \
            "http://$FLEET_IP:1871$entry/v1/services/deposits/hold/$name")
        [ "$got" = 503 ] || fleet_fail "hold: $got $(cat "$FLEET_DIR/refused")"
        [ "$(jq -r .error.ran "$FLEET_DIR/refused")" = no ] \
            || fleet_fail "hold: $(cat "$FLEET_DIR/refused")"
        grep -qiE '^Retry-After: [1-9][0-9]*' "$FLEET_DIR/head" || fleet_fail "no Retry-After"
        [ "$(runs_of "refused-$name")" = 0 ] \
            || fleet_fail "the answer says not run, but the journal has the hold"
        [ "$(targets_of "$entry")" = "$before" ] || fleet_fail "targets: $(targets_of "$entry")"
    done
done
fault 18700 '{"mode":"none"}'

# A refused key can be used once the platform is back.
is_held() {
    [ "$(hold 2 refused-1-1)" = 200 ]
}
fleet_until "the refused hold to run" is_held
[ "$(runs_of refused-1-1)" = 1 ] || fleet_fail "refused-1-1 ran $(runs_of refused-1-1) times"

# A read of the table would lose its answer too, so /counts, which no fault affects, shows that a
# write was executed. Several keys are tried, since the counted write may be another one.
writes_done() {
    curl -sf "http://$FLEET_IP:18700/counts" | jq .writes
}
has_written() {
    [ "$(writes_done)" -gt "$writes" ]
}
is_lost_held() {
    [ "$(hold "$1" "$key")" = 200 ]
}
# A router refuses claims without a write for a while after failures of the table. Such an attempt
# says nothing about a lost answer, so it is checked as a refusal and repeated.
is_claiming() {
    [ "$(hold 1 "ready-$i")" = 200 ]
}
has_written_or_ended() {
    has_written || [ -s "$FLEET_DIR/$key.status" ]
}
lost=0
for ((i = 1; i <= 15 && lost < 3; ++i)); do
    key=lost-$i
    fleet_until "entry-1 to claim" is_claiming
    writes=$(writes_done)
    fault 18700 '{"mode":"loseAnswers"}'
    hold 1 "$key" >"$FLEET_DIR/$key.status" &
    lost_caller=$!
    CALLERS+=("$lost_caller")
    fleet_until "a write whose answer is lost" has_written_or_ended
    fault 18700 '{"mode":"none"}'
    wait "$lost_caller" || true
    case "$(cat "$FLEET_DIR/$key.status") $(jq -r '.error.ran // "-"' "$FLEET_DIR/$key.answer")" in
    "200 -") lost=$((lost + 1)) ;;
    "503 no") [ "$(runs_of "$key")" = 0 ] \
        || fleet_fail "$key: the answer says not run, but the journal has it" ;;
    *) fleet_fail "$key: $(cat "$FLEET_DIR/$key.status" "$FLEET_DIR/$key.answer")" ;;
    esac
    fleet_until "the answer of $key at entry-2" is_lost_held 2
    fleet_until "the answer of $key at entry-3" is_lost_held 3
    [ "$(runs_of "$key")" = 1 ] || fleet_fail "$key ran $(runs_of "$key") times"
done
[ "$lost" = 3 ] || fleet_fail "only $lost of 15 holds were answered after a lost answer"
echo "platform down: still served; $lost of $((i - 1)) holds answered after a lost answer"
