#!/usr/bin/env bash
# Causes failures that only real processes can have, and prints what callers received and what the
# backend servers ran. The output must equal tests/golden/failures.txt.
# usage: failures.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. scripts/fleet.sh
trap fleet_cleanup EXIT

headers=(-H 'Authorization: Bearer example-key-dealer' -H 'X-Lagoonmast-Class: buyer-replies'
    -H 'Content-Type: application/json')

# chat ENTRY TOKENS PROMPT: requests a streamed answer and prints it.
chat() {
    curl -s --max-time 60 "http://$FLEET_IP:1871$1/v1/chat/completions" "${headers[@]}" -d '{
        "model":"condition-writer","stream":true,"max_tokens":'"$2"',
        "messages":[{"role":"user","content":"'"$3"'"}]}'
}

# count_complete TOKENS FILE...: prints how many of the files hold a complete answer: all tokens of
# one prompt in order, the usage and one [DONE].
count_complete() {
    local tokens=$1 count=0 file
    shift
    for file in "$@"; do
        sed -n 's/^data: //p' "$file" | jq -Rse --argjson tokens "$tokens" '
            split("\n") | map(select(. != "")) | .[-1] == "[DONE]" and (.[:-1] | map(fromjson)
            | map(.choices[0].delta.content // empty) | length == $tokens
            and (map(split("-")[0]) == [range($tokens) | "w\(.)"])
            and (map(split("-")[1]) | unique | length == 1))' >"$FLEET_DIR/verdict" \
            && count=$((count + 1))
    done
    echo "$count"
}

# hold ENTRY KEY: requests a deposit hold and prints the status.
hold() {
    curl -s --max-time 30 -o "$FLEET_DIR/hold" -w '%{http_code}\n' "${headers[@]}" \
        -H 'X-Lagoonmast-Repeatable: no' -H "Idempotency-Key: $2" \
        "http://$FLEET_IP:1871$1/v1/services/deposits/hold" -d '{"car":1}'
}

# runs_of KEY: prints how often the application server ran the hold.
runs_of() {
    curl -s "http://$FLEET_IP:18741/journal" \
        | jq --arg key "$1" '[.requests[] | select(.idempotencyKey == $key)] | length'
}

fleet_up

# A caller requests a deposit hold. The router's claim of the key is written, but the answer of the
# table is lost. A router that treats the claim as not written would refuse a hold whose key is now
# taken for good; one that writes another claim would run the hold twice.
curl -s -o "$FLEET_DIR/fault" "http://$FLEET_IP:18700/faults" -d '{"mode":"loseAnswers","count":1}'
echo "claim whose answer is lost: status $(hold 1 lost), ran $(runs_of lost) time(s)"

# The same hold is sent to three routers at once. Without a claim in a common table each of them
# would run it.
senders=()
for entry in 1 2 3; do
    hold "$entry" same >"$FLEET_DIR/status-$entry" &
    senders+=($!)
done
wait "${senders[@]}"
answers=$(cat "$FLEET_DIR"/status-? | sort -u | tr '\n' ' ')
[[ $answers =~ ^(200 )(409 )?$ ]] && answers="200, or 409 while it runs"
echo "one hold at three routers at once: $answers; ran $(runs_of same) time(s)"

# The home of the model's pool is killed, the router that queues its requests and grants permits to
# run them. Callers of the other routers must not notice: running streams go on, and waiting
# requests are queued at the next home.
chat 1 1 warm >"$FLEET_DIR/warm"
request=$(jq -rs 'map(select(.name == "entry")) | last.tags.request' "$FLEET_DIR/entry-1.out")
home=$(fleet_path "$request" | sed 's/.*queue@entry-\([0-9]\).*/\1/')
others=(1 2 3)
unset "others[$((home - 1))]"
others=("${others[@]}")
streams=()
for n in $(seq 24); do
    chat "${others[$((n % 2))]}" 60 "car $n" >"$FLEET_DIR/stream-$n" &
    streams+=($!)
done
any_running() {
    [ -s "$FLEET_DIR/stream-1" ] || [ -s "$FLEET_DIR/stream-2" ]
}
fleet_until "a stream" any_running
kill -KILL "${FLEET_PIDS[$((FLEET_STANDINS + home - 1))]}"
wait "${streams[@]}" || echo "a stream was broken off"
echo "home killed under 24 streams: $(count_complete 60 "$FLEET_DIR"/stream-*) whole"

# A router is told to shut down while it streams an answer of 19 s, which is longer than a list of
# entry hosts is valid. The caller must get the complete answer, and callers with an old list must
# be served.
leaving=${others[0]} staying=${others[1]}
chat "$leaving" 3800 long >"$FLEET_DIR/long" &
long=$!
fleet_until "the long stream" test -s "$FLEET_DIR/long"
kill "${FLEET_PIDS[$((FLEET_STANDINS + leaving - 1))]}"
is_unlisted() {
    ! curl -s "http://$FLEET_IP:1871$staying/v1/entry-hosts" | grep -q "1871$leaving"
}
fleet_until "the list without the leaving router" is_unlisted
echo "leaving router: readyz $(curl -s -o "$FLEET_DIR/readyz" -w '%{http_code}' \
    "http://$FLEET_IP:1871$leaving/readyz")"
chat "$leaving" 5 late >"$FLEET_DIR/late"
echo "new work at the leaving router: $(count_complete 5 "$FLEET_DIR/late") whole"
status=0
wait "${FLEET_PIDS[$((FLEET_STANDINS + leaving - 1))]}" || status=$?
wait "$long" || echo "the long stream was broken off"
echo "its long stream: $(count_complete 3800 "$FLEET_DIR/long") whole; exit status $status"

# A model server is marked as leaving. Once the pool's home knows that, the server must get no new
# work.
curl -s -o "$FLEET_DIR/hosts" -X PUT "http://$FLEET_IP:18700/hosts/model-1/state" \
    -d '{"state":"leaving"}'
has_left() {
    curl -s "http://$FLEET_IP:1871$staying/metrics" \
        | grep -q 'server_permit_limit{pool="model/condition-writer",server="model-1"} 0'
}
fleet_until "the mark of model-1 at the home" has_left
ran() {
    curl -s "http://$FLEET_IP:18731/journal" | jq '.requests | length'
}
before=$(ran)
for n in $(seq 20); do
    chat "$staying" 2 "after $n" >"$FLEET_DIR/after-$n"
done
echo "leaving server: 20 requests, $(count_complete 2 "$FLEET_DIR"/after-*) whole," \
    "$(($(ran) - before)) of them there"
