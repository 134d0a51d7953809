# Sourced by the test scripts of this folder, after FLEET_BUILD is set: calls to a fleet of
# scripts/fleet.sh and checks of its answers. No check depends on how long anything takes.
. scripts/fleet.sh

CALLERS=()
dealer=(-H 'Authorization: Bearer example-key-dealer' -H 'X-Lagoonmast-Class: buyer-replies'
    -H 'Content-Type: application/json')

processes_cleanup() {
    local pid
    for pid in "${CALLERS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    fleet_cleanup
}
trap processes_cleanup EXIT

# router_pid ENTRY: prints the process id of entry-ENTRY, after fleet_up.
router_pid() {
    echo "${FLEET_PIDS[FLEET_STANDINS + $1 - 1]}"
}

# fault PORT JSON: sets the fault of a stand-in.
fault() {
    curl -sf -o "$FLEET_DIR/fault" "http://$FLEET_IP:$1/faults" -d "$2" \
        || fleet_fail "the fault was not set: $*"
}

# start_stream NAME ENTRY TOKENS: requests a streamed answer in the background and writes it to
# NAME.sse.
start_stream() {
    curl -sN --max-time 90 -o "$FLEET_DIR/$1.sse" "http://$FLEET_IP:1871$2/v1/chat/completions" \
        "${dealer[@]}" -d '{"model":"condition-writer","stream":true,"max_tokens":'"$3"',
            "messages":[{"role":"user","content":"Is car '"$1"' sold?"}]}' &
    CALLERS+=($!)
}

# stream_tokens NAME: prints the number of tokens that have arrived.
stream_tokens() {
    { sed -n 's/^data: //p' "$FLEET_DIR/$1.sse" 2>/dev/null || true; } \
        | { grep -c '"content":"w' || true; }
}

# has_token NAME: whether the first token has arrived.
has_token() {
    [ "$(stream_tokens "$1")" -gt 0 ]
}

# has_end NAME: whether [DONE] has arrived.
has_end() {
    grep -qx 'data: \[DONE\]' <(tr -d '\r' <"$FLEET_DIR/$1.sse")
}

# check_stream NAME TOKENS: fails unless the stream has every token of one answer once, in order,
# and [DONE].
check_stream() {
    local text
    has_end "$1" || fleet_fail "stream $1 ended after $(stream_tokens "$1") tokens without [DONE]"
    text=$(tr -d '\r' <"$FLEET_DIR/$1.sse" | sed -n 's/^data: //p' | grep -vx '\[DONE\]' \
        | jq -rs '[.[].choices[0].delta.content // ""] | join("")')
    awk -v count="$2" '{ n = NF; split($1, first, "-")
        for (i = 1; i <= NF; ++i) if ($i != "w" (i - 1) "-" first[2]) n = -1 }
        END { exit n == count ? 0 : 1 }' <<<"$text" || fleet_fail "stream $1 is not complete: $text"
}

# lists_without ROUTER ENTRY: whether ROUTER returns a list of entry hosts that does not name ENTRY.
lists_without() {
    curl -sf "http://$FLEET_IP:1871$1/v1/entry-hosts" \
        | jq -e --arg it "$FLEET_IP:1871$2" 'all(.hosts[]; .address != $it)' >/dev/null
}

# status_of ENTRY PATH: prints the status code of a GET.
status_of() {
    curl -s -o "$FLEET_DIR/status" -w '%{http_code}' "http://$FLEET_IP:1871$1$2"
}

# is_unready ENTRY: whether the router says that it is not ready.
is_unready() {
    [ "$(status_of "$1" /readyz)" = 503 ]
}

# hold ENTRY KEY: requests a deposit hold, which may not be repeated. Prints its status and writes
# the body to KEY.answer.
hold() {
    curl -s --max-time 20 -o "$FLEET_DIR/$2.answer" -w '%{http_code}' "${dealer[@]}" \
        -H 'X-Lagoonmast-Repeatable: no' -H "Idempotency-Key: $2" \
        "http://$FLEET_IP:1871$1/v1/services/deposits/hold/$2" -d '{"car":"'"$2"'"}' || true
}

# runs_of KEY: prints how often the application server began to run the hold.
runs_of() {
    curl -sf "http://$FLEET_IP:18741/journal" \
        | jq --arg key "$1" '[.requests[] | select(.idempotencyKey == $key)] | length'
}
