#!/usr/bin/env bash
# Measures one of three gateways with stand-ins as store and backend servers, on the loopback of
# this machine: processor time per forwarded request, per streamed event and per idle second, and
# memory with 1,000 open streams.
# usage: measuregateway.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET_BUILD=$1
ulimit -n 8192 2>/dev/null || true
. tests/processes/deployment.sh
MAX_CONNECTIONS=6000
TOKENS_PER_S=0
# Request lines in the log per second; 0 measures without them.
LOG_LINES=${LOG_LINES:-150}
# load TITLE ARGUMENT...: prints the title and runs gatewayload against gateway 1.
load() {
    echo "== $1"
    shift
    "$FLEET_BUILD/tools/gatewayload/gatewayload" --address "$FLEET_IP:19721" \
        --pid "${GATEWAYS[1]}" "$@"
}
fleet_standin store rowstorestandin $STORE
fleet_standin server-1 deployedserverstandin 19711 --id i-1 --work-ms 25 --events 41
fleet_standin server-2 deployedserverstandin 19712 --id i-2 --work-ms 25 --events 41
fleet_standin server-3 deployedserverstandin 19713 --id i-3 --work-ms 1
FLEET_STANDINS=${#FLEET_PIDS[@]}
configure 4 '["key-1"]'
for i in 1 2; do
    put servers "i-$i" '{"service":"pool","address":"'"$FLEET_IP"':1971'"$i"'","zone":"z",
        "version":"v1","slots":2000,"state":"ready","sequence":1,"coldRemainingMs":0,
        "born":1764700000000}'
done
put servers i-3 '{"service":"app","address":"'"$FLEET_IP"':19713","zone":"z","version":"v1",
    "slots":200,"state":"ready","sequence":1,"coldRemainingMs":0,
        "born":1764700000000}'
for i in 1 2 3; do
    gateway_start $i
done
for i in 1 2 3; do
    fleet_until "all gateways at $i" lists_gateways "$i" 3
done
load "idle, three gateways" --callers 0
load "plain requests, 40 callers" --callers 40 --path /read/x
load "streams of 41 events, 40 callers" --callers 40 --stream true --path /stream/x
load "a thousand streams" --callers 1000 --stream true --path /stream/x --seconds 6
fleet_stop
