#!/usr/bin/env bash
# Guards against streams that go on at another software version than the one that began them, because
# they are taken up at a gateway that was out of step while servers of a new version joined.
# usage: hostoutofstep.sh BUILD_FOLDER frozen|cut|alone|storeaway
# frozen: the gateway stands still; cut: it reaches neither the store nor the other gateway. The other
# two show that streams go on where no version has joined: alone, in touch; storeaway, without the
# store.
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
mode=$2
. tests/processes/deployment.sh
streams=${STREAMS:-40}
LOG_LINES=1000
SLOTS=64
TOKENS_PER_S=10000000
# Keys may be used for longer than the store is away.
REVOCATION_MS=20000

# begin N: begins stream N at gateway 2 and leaves it after its first events.
begin() {
    curl -sfN --max-time 0.3 -o "$FLEET_DIR/begun-$1" "http://$FLEET_IP:19722/stream/$1" \
        -H 'Host: cars.example' -H 'Deadline-Ms: 8000' -H "Attempt-Id: s-$1" \
        -H 'Authorization: Bearer key-1' -H 'Model: m' -H 'Token-Count: 700,40' \
        -H "Prefix-Hash: a$1:500,b$1:200" -d 'a question' || true
}

# begin_all: begins all streams.
begin_all() {
    local readers=() n
    for n in $(seq "$streams"); do
        begin "$n" &
        readers+=($!)
    done
    wait "${readers[@]}"
}

# take_up N: takes stream N up at gateway 1 and adds its status to the file of statuses.
take_up() {
    curl -s --max-time 15 -o "$FLEET_DIR/went-on-$1" -w '%{http_code}\n' \
        "http://$FLEET_IP:19721/stream/$1" -H 'Host: cars.example' -H 'Deadline-Ms: 8000' \
        -H "Attempt-Id: again-$1" -H 'Authorization: Bearer key-1' -H 'Model: m' \
        -H 'Token-Count: 700,40' -H "Prefix-Hash: a$1:500,b$1:200" -d 'a question' \
        -H 'Last-Event-Id: 1' -H "Resumes: s-$1" >>"$FLEET_DIR/statuses" || true
}

# take_up_all: takes up the streams that have begun.
take_up_all() {
    local n
    takers=()
    for n in $(seq "$streams"); do
        [ -s "$FLEET_DIR/begun-$n" ] || continue
        take_up "$n" &
        takers+=($!)
    done
}

new_servers() {
    local i
    for i in 4 5; do VERSION=v2 server "$i" pool ready; done
}

fleet_standin store rowstorestandin $STORE
fleet_start proxy "$FLEET_BUILD/tests/soak/faultproxy" "$FLEET_IP" 19800 "19810:$STORE"
fleet_until proxy grep -qx ready "$FLEET_DIR/proxy.out"
for i in 1 2 4 5; do
    fleet_standin "server-$i" deployedserverstandin "1971$i" --id "i-$i" --work-ms 100
done
configure 4 '["key-1"]'
for i in 1 2; do server "$i" pool ready; done
STORE=19810 gateway_start 1
if [ "$mode" = cut ]; then
    # The gateways do not find each other: the row of the first one is removed before the second one
    # reads it, and each looks for others again only after half a minute.
    fleet_until "gateway-1" is_ready 1
    has_row() {
        curl -sf "http://$FLEET_IP:$STORE/-/rows-get?table=routers&part=hosts" \
            | jq -e '.rows | length == 1' >/dev/null
    }
    fleet_until "the row of gateway-1" has_row
    sleep 1.5
    curl -sf -o "$FLEET_DIR/put" "http://$FLEET_IP:$STORE/put" \
        -d '{"table":"routers","part":"hosts","key":"gateway-1","value":null}' \
        || fleet_fail "the row was not removed"
    gateway_start 2
    fleet_until "gateway-2" is_ready 2
else
    gateway_start 2
    for i in 1 2; do
        fleet_until "gateway-$i" is_ready "$i"
        fleet_until "both gateways at $i" lists_gateways "$i" 2
    done
fi

case "$mode" in
frozen)
    kill -STOP "${GATEWAYS[1]}"
    new_servers
    fleet_until "the new servers at gateway 2" knows 2 found 4
    begin_all
    take_up_all
    sleep 0.1
    kill -CONT "${GATEWAYS[1]}" ;;
cut)
    printf '19810 silent' >"/dev/udp/$FLEET_IP/19800"
    new_servers
    fleet_until "the new servers at gateway 2" knows 2 found 4
    begin_all
    take_up_all ;;
alone)
    begin_all
    take_up_all ;;
storeaway)
    fault $STORE '{"mode":"down"}'
    # Longer than a list of servers counts as current without any proof.
    sleep 4
    begin_all
    take_up_all ;;
esac
[ "${#takers[@]}" -ge $((streams * 3 / 4)) ] || fleet_fail "only ${#takers[@]} streams have begun"
wait "${takers[@]}"
served=$(grep -c 200 "$FLEET_DIR/statuses" || true)
at_new=$(journals 19714 19715 | grep -c stream || true)
echo "${#takers[@]} streams taken up, $at_new have run at the new version, $served went on," \
    "$(mixed) at both versions"
touch "$FLEET_DIR/body"
expect "streams of two versions" "$(mixed)" 0
case "$mode" in
frozen | cut)
    [ "$at_new" -ge 5 ] || fleet_fail "only $at_new streams at the new version"
    grep -h request.end "$FLEET_DIR/gateway-1.out" | grep -o '"origin":"[a-z_]*"' | sort | uniq -c ;;
*)
    [ "$served" -ge $((${#takers[@]} * 9 / 10)) ] \
        || fleet_fail "only $served of ${#takers[@]} streams went on" ;;
esac
