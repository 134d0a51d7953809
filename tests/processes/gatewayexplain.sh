#!/usr/bin/env bash
# Guards against failures that an operator cannot trace: one request is refused since its server is
# full, one stream breaks off, and one call that may not be repeated has an unknown outcome.
# "lagoonmast explain" must explain each of them from the gateways' logs alone, and the metrics must
# count them.
# usage: gatewayexplain.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

# request ID PATH CURL_ARGUMENT...: sends a request with this Attempt-Id.
request() {
    local id=$1 path=$2
    shift 2
    curl -s --max-time 15 -o "$FLEET_DIR/body" "http://$FLEET_IP:19721$path" \
        -H 'Host: cars.example' -H 'Deadline-Ms: 3000' -H "Attempt-Id: $id" \
        -H 'Authorization: Bearer key-1' "$@" || true
}

# explain ID: writes the explanation of the request to $FLEET_DIR/explanation.
explain() {
    "$FLEET_BUILD/src/app/lagoonmast" explain "$1" "$FLEET_DIR"/gateway-*.out \
        >"$FLEET_DIR/explanation"
}

# explained ID PATTERN...: fails unless the explanation of the request has a line for each pattern.
explained() {
    local id=$1
    shift
    fleet_until "the end of $id in the log" \
        eval "explain $id && grep -q request.end $FLEET_DIR/explanation"
    for pattern in "$@"; do
        grep -Eq "$pattern" "$FLEET_DIR/explanation" \
            || fleet_fail "$id is not explained by $pattern: $(cat "$FLEET_DIR/explanation")"
    done
}

fault 19713 '{"mode":"refuse"}'
request refused /once/a -d x
explained refused 'gateway-1 request.attempt_failed .*server=i-3@1764700000000 outcome=no_room maybeRan=false' \
    'request.end .*outcome=overloaded status=503 .*runs=0'
fault 19713 '{"mode":"none"}'

for port in 19711 19712; do
    fault $port '{"mode":"cut","afterEvents":2}'
done
request broken /stream/b "${prompt[@]}"
explained broken 'request.attempt_failed .*outcome=broken maybeRan=true repeats=true' \
    'request.attempt_failed .*outcome=broken maybeRan=true repeats=false' \
    'request.end .*outcome=(backend_failed|streamed) .*runs='
for port in 19711 19712; do
    fault $port '{"mode":"none"}'
done

fault 19713 '{"mode":"cut","count":1}'
request unknown /once/c -d x
explained unknown 'request.attempt_failed .*server=i-3@1764700000000 outcome=broken maybeRan=true repeats=false' \
    'request.end .*outcome=backend_failed status=502 .*runs=1'

curl -sf "http://$FLEET_IP:19761/metrics" >"$FLEET_DIR/metrics" || fleet_fail "no metrics"
for pattern in 'requests_total\{route="once",outcome="overloaded"\} 1' \
    'failed_attempts_total\{outcome="no_room"\}' 'live_hosts 2' 'gateway_ready 1' \
    'store_calls_total\{call="configuration",result="good"\}' 'first_seconds_bucket'; do
    grep -Eq "lagoonmast_gateway_$pattern|$pattern" "$FLEET_DIR/metrics" \
        || fleet_fail "no $pattern: $(cat "$FLEET_DIR/metrics")"
done
fleet_stop || fleet_fail "a process did not exit with 0"
