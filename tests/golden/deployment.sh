#!/usr/bin/env bash
# Runs a session with two gateways, a row store and three backend servers. Prints the answers that
# callers received and what the gateway logged. Fields that differ between runs are replaced by
# fixed texts. The output must equal tests/golden/deployment.txt.
# usage: deployment.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh

# show TITLE ID PATH CURL_ARGUMENT...: sends a request and prints the answer.
show() {
    echo
    echo "## $1"
    shift
    local id=$1 path=$2
    shift 2
    curl -s -i --max-time 15 "http://$FLEET_IP:19721$path" -H 'Host: cars.example' \
        -H 'Deadline-Ms: 8000' -H "Attempt-Id: $id" "$@" | tr -d '\r' \
        | sed -E '/^(Date|Connection|Keep-Alive):/Id; s/^(Retry-After:) .*/\1 N/; s/"retryAfterMs":[0-9]+/"retryAfterMs":N/
            s/"server":"i-[12]"/"server":"<pool server>"/; s/stamp-of-i-[12]/<stamp of a pool server>/'
    echo
}

# logged ID: prints what the gateway logged for the request, without times.
logged() {
    fleet_until "the last line of $1" grep -Eq \
        "\"event\":\"request\.(end|refused)\",\"request\":\"$1\"" "$FLEET_DIR/gateway-1.out"
    echo "log: $(grep "\"request\":\"$1\"" "$FLEET_DIR/gateway-1.out" | jq -c '
        {event, request, route, customer, configuration, outcome, why, status, sends, runs, events}
        | with_entries(select(.value != null))')"
}

deployment_up
key=(-H 'Authorization: Bearer key-1')

echo "## Gateways to connect to"
curl -s "http://$FLEET_IP:19741/-/resolve?name=cars.example&region=r&zone=z" \
    | sed "s/${FLEET_IP//./\\.}/127.0.0.1/g" | jq -c '.addresses |= sort'
show "A call that may run once" a1 /once/hold "${key[@]}" -H 'Tenant: somebody-else' -d '{"car":8}'
logged a1
show "A read" a2 '/read/status?car=8' "${key[@]}"
show "A stream" a3 /stream/summary "${key[@]}" "${prompt[@]}"
logged a3
show "A resumed stream" a4 /stream/summary "${key[@]}" "${prompt[@]}" -H 'Last-Event-Id: 6'
show "An unknown key" a5 /read/status -H 'Authorization: Bearer none'
logged a5
show "A path without a route" a6 /nothing "${key[@]}"
fault 19713 '{"mode":"refuse"}'
show "A full server" a7 /once/hold "${key[@]}" -d '{"car":9}'
logged a7
fault 19713 '{"mode":"error","count":1}'
show "An error of the backend server" a8 /once/hold "${key[@]}" -d '{"car":10}'
show "A malformed HTTP request" a9 /read/status "${key[@]}" -H 'Content-Length: 4' \
    -H 'Transfer-Encoding: chunked' -d x
fleet_stop
