#!/usr/bin/env bash
# Runs a session with the fleet of examples/quickstart and prints what callers and operators
# received. Fields that differ between runs (addresses, request ids, the selected server) are
# replaced by fixed texts. The output must equal tests/golden/session.txt.
# usage: session.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. scripts/fleet.sh
trap fleet_cleanup EXIT

# normalize: replaces the fields that differ between runs.
normalize() {
    tr -d '\r' | sed -E "s/${FLEET_IP//./\\.}/127.0.0.1/g" | sed -E '
        /^(Date|Content-Length|Connection|Transfer-Encoding):/d
        s/entry-([0-9])-[0-9]{6,}-(x?[0-9]+)/<request of entry-\1>/g
        s/(backend@)model-[0-9]/\1<model server>/g
        s/^Retry-After: [0-9]+/Retry-After: N/
        s/"retryAfterMs":[0-9]+/"retryAfterMs":N/'
}

# step TITLE: prints the heading of a step.
step() {
    echo
    echo "## $*"
}

# call ENTRY PATH CURL_ARGUMENT...: sends a request, prints the answer and sets request_id.
call() {
    local entry=$1 path=$2
    shift 2
    curl -s -i --max-time 20 "http://$FLEET_IP:1871$entry$path" "$@" >"$FLEET_DIR/answer" \
        || echo "curl ended with $?"
    request_id=$(tr -d '\r' <"$FLEET_DIR/answer" | sed -n 's/^X-Request-Id: //p')
    normalize <"$FLEET_DIR/answer"
    # A body may end without a line feed.
    [ "$(tail -c 1 "$FLEET_DIR/answer" | od -An -tx1 | tr -d ' ')" = 0a ] || echo
}

# way: waits for the entry span of the last call and prints the spans of the call.
way() {
    fleet_until "the spans of $request_id" grep -q "\"entry\".*\"$request_id\"" \
        "$FLEET_DIR"/entry-1.out "$FLEET_DIR"/entry-2.out "$FLEET_DIR"/entry-3.out
    echo "way: $(fleet_path "$request_id" | normalize)"
}

dealer=(-H 'Authorization: Bearer example-key-dealer')
replies=("${dealer[@]}" -H 'X-Lagoonmast-Class: buyer-replies')
json=(-H 'Content-Type: application/json')
question='{"model":"condition-writer","messages":[{"role":"user","content":"Is car 5 sold?"}]}'
held=(-H 'X-Lagoonmast-Repeatable: no' -H 'Idempotency-Key: deposit-8')

# operator ARGUMENT...: runs lagoonmast with these arguments and prints its output and exit status.
operator() {
    local status=0
    "$FLEET_BUILD/src/app/lagoonmast" "$@" >"$FLEET_DIR/operator" 2>&1 || status=$?
    normalize <"$FLEET_DIR/operator"
    echo "exit status $status"
}

fleet_up

step "Entry hosts for a caller in the zone mission"
call 1 '/v1/entry-hosts?zone=mission'

for entry in 1 2 3; do
    step "A streamed answer, by entry-$entry"
    call "$entry" /v1/chat/completions "${replies[@]}" "${json[@]}" -d '{"model":"condition-writer",
        "stream":true,"max_tokens":3,"messages":[{"role":"user","content":"Is car '"$entry"' sold?"}]}'
    way
done

step "An answer that is not streamed"
call 2 /v1/chat/completions "${replies[@]}" "${json[@]}" -d '{"model":"condition-writer",
    "max_tokens":2,"messages":[{"role":"user","content":"Is car 4 sold?"}]}'

step "Refused: an unknown key"
call 1 /v1/chat/completions -H 'Authorization: Bearer no-such-key' \
    -H 'X-Lagoonmast-Class: buyer-replies' "${json[@]}" -d "$question"

step "Refused: an unknown class"
call 1 /v1/chat/completions "${dealer[@]}" -H 'X-Lagoonmast-Class: gold' "${json[@]}" \
    -d "$question"

step "Refused: every server of the model is leaving"
call 3 /v1/chat/completions "${replies[@]}" "${json[@]}" -d "${question/condition-writer/retired}"
way

step "Refused: not repeatable without a key"
call 1 /v1/services/deposits/hold/8 "${replies[@]}" -H 'X-Lagoonmast-Repeatable: no' \
    "${json[@]}" -d '{"car":8}'

step "A plain service call"
call 2 /v1/services/deposits/price/7 "${replies[@]}" "${json[@]}" -d '{"car":7}'
way

step "A deposit hold, which may not be repeated"
call 1 /v1/services/deposits/hold/8 "${replies[@]}" "${held[@]}" "${json[@]}" -d '{"car":8}'
way

step "The same hold, retried at another router"
call 2 /v1/services/deposits/hold/8 "${replies[@]}" "${held[@]}" "${json[@]}" -d '{"car":8}'

step "The same key for another car"
call 3 /v1/services/deposits/hold/9 "${replies[@]}" "${held[@]}" "${json[@]}" -d '{"car":9}'

step "What the application server ran"
curl -s "http://$FLEET_IP:18741/journal" | jq -r '.requests[] | .path + " " + .state'

step "An operator reads the targets"
operator targets get --address "$FLEET_IP:18711"

step "The operator changes a target at entry-2"
operator targets set --address "$FLEET_IP:18712" --class buyer-replies --start-within-ms 700 \
    --claim 0.6 --if-match 6
has_change() {
    [ "$(curl -s "http://$FLEET_IP:1871$1/v1/targets" | jq .version)" = 7 ]
}
fleet_until "the change at entry-1" has_change 1
fleet_until "the change at entry-3" has_change 3

step "Another operator, with an outdated version, is refused at entry-3"
operator targets set --address "$FLEET_IP:18713" --class buyer-replies --start-within-ms 400 \
    --if-match 6
operator targets get --address "$FLEET_IP:18713"

step "An invalid target"
call 1 /v1/targets/buyer-replies -X PUT -H 'If-Match: 7' -d '{"startWithinMs":0}'

step "The status of entry-1"
operator status --address "$FLEET_IP:18711"

# fault PORT JSON: sets the fault of a stand-in.
fault() {
    curl -s -o "$FLEET_DIR/fault" "http://$FLEET_IP:$1/faults" -d "$2"
}

step "Each model server refuses one request: it is retried and answered"
for port in 18731 18732; do
    fault "$port" '{"mode":"refuse","count":1}'
done
call 2 /v1/chat/completions "${replies[@]}" "${json[@]}" -d '{"model":"condition-writer",
    "stream":true,"max_tokens":2,"messages":[{"role":"user","content":"Is car 6 sold?"}]}'
for port in 18731 18732; do
    fault "$port" '{"mode":"none"}'
done

step "Each model server breaks one stream off after two events: it is resumed and completed"
for port in 18731 18732; do
    fault "$port" '{"mode":"cut","afterEvents":2,"count":1}'
done
call 2 /v1/chat/completions "${replies[@]}" "${json[@]}" -d '{"model":"condition-writer",
    "stream":true,"max_tokens":4,"messages":[{"role":"user","content":"Is car 7 sold?"}]}'
for port in 18731 18732; do
    fault "$port" '{"mode":"none"}'
done

step "The platform is down: repeatable work is served"
fault 18700 '{"mode":"down"}'
call 1 /v1/services/deposits/price/10 "${replies[@]}" "${json[@]}" -d '{"car":10}'

step "The platform is down: a new hold is refused"
call 1 /v1/services/deposits/hold/10 "${replies[@]}" -H 'X-Lagoonmast-Repeatable: no' \
    -H 'Idempotency-Key: deposit-10' "${json[@]}" -d '{"car":10}'

step "The platform is down: a change of a target is refused"
operator targets set --address "$FLEET_IP:18711" --class buyer-replies --start-within-ms 900 \
    --if-match 7
fault 18700 '{"mode":"none"}'

step "What the application server ran in the end"
curl -s "http://$FLEET_IP:18741/journal" | jq -r '.requests[] | .path + " " + .state'

step "Shutdown"
fleet_stop && echo "every process exited with 0"
