#!/usr/bin/env bash
# Guards against requests that differ in all but one prompt part and end one server after the other.
# usage: requestpartendsservers.sh BUILD_FOLDER [PART]
# PART is one more part that comes in the same requests.
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
MORE_TENANTS=',{"name":"agent","apiKeys":["key-3"],"priority":1}'
. tests/processes/deployment.sh
deployment_up

deadly=dead
also=${2:-}
requests=20
# Five servers may end until the part is known, and three more by what is sent after that.
max_ended=8
slots=(4 5 6 7 8 9)
declare -A ids pids
ended=0

# start_server N ID: starts a server of the pool at the address of server N.
start_server() {
    fleet_standin "$2" deployedserverstandin "1971$1" --id "$2" --exit-on-part "$deadly"
    ids[$1]=$2
    pids[$1]=${FLEET_PIDS[-1]}
    put servers "$2" '{"service":"pool","address":"'"$FLEET_IP"':1971'"$1"'","zone":"z",
        "version":"v1","slots":8,"state":"ready","sequence":1,"coldRemainingMs":0,
        "born":1764700000000}'
}
# found GATEWAY ID, leaves GATEWAY ID: whether the gateway knows that the server has come or leaves.
found() { grep -q '"server.found","server":"'"$2@" "$FLEET_DIR/gateway-$1.out"; }
leaves() { grep -q '"server.leaving","server":"'"$2@" "$FLEET_DIR/gateway-$1.out"; }

# replace_ended: counts the servers that have ended and starts others, with new ids, in their place.
replace_ended() {
    local n gateway started=()
    for n in "${slots[@]}"; do
        ! kill -0 "${pids[$n]}" 2>/dev/null || continue
        ended=$((ended + 1))
        put servers "${ids[$n]}" null
        start_server "$n" "i-$n-$ended"
        started+=("${ids[$n]}")
    done
    for gateway in 1 2; do
        for n in "${started[@]}"; do
            fleet_until "server $n at gateway $gateway" found "$gateway" "$n"
        done
    done
}

# ask GATEWAY N PARTS: sends request N of one of the two customers with these prompt parts.
ask() {
    local key="key-1"
    [ $(($2 % 2)) = 0 ] || key="key-3"
    KEY=$key call "$1" "/stream/$2" -X POST -H 'Model: m' -H 'Token-Count: 700,40' \
        -H "Prefix-Hash: $3" -d "question $2"
}
# ask_deadly GATEWAY N, ask_sound GATEWAY N: requests that are alike but for one part.
ask_deadly() { ask "$1" "$2" "a$2:300,$deadly:200${also:+,$also:200},c$2:200"; }
ask_sound() { ask "$1" "$2" "a$2:300,c$2:200"; }

for n in "${slots[@]}"; do
    start_server "$n" "i-$n"
done
for n in 1 2; do
    server "$n" pool draining
done
for gateway in 1 2; do
    for n in "${slots[@]}"; do
        fleet_until "server i-$n at gateway $gateway" found "$gateway" "i-$n"
    done
    for n in 1 2; do
        fleet_until "the leaving server i-$n at gateway $gateway" leaves "$gateway" "i-$n"
    done
done

for gateway in 1 2; do
    for n in 1 2 $((requests - 1)) "$requests"; do
        expect "request $n without the part, before" "$(ask_sound "$gateway" "$n")" 200
    done
done
statuses=()
for n in $(seq 1 "$requests"); do
    # Both customers ask both gateways.
    statuses+=("$(ask_deadly $((n / 2 % 2 + 1)) "$n")")
    # A server may still be ending, and the other gateway may not have heard of it.
    sleep 0.5
    replace_ended
done
echo "$ended servers ended under $requests requests; answers: ${statuses[*]}"
[ "$ended" -gt 0 ] || fleet_fail "no server ended"
for gateway in 1 2; do
    for n in 1 2 $((requests - 1)) "$requests"; do
        expect "request $n without the part, after" "$(ask_sound "$gateway" "$n")" 200
    done
done
[ "$ended" -le "$max_ended" ] \
    || fleet_fail "$ended servers ended under $requests requests, at most $max_ended may"
fleet_terminate "${GATEWAYS[@]}" || fleet_fail "a gateway did not exit with 0"
