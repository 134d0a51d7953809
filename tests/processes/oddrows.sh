#!/usr/bin/env bash
# Guards against rows and datagrams of other writers that end the gateways, or that keep them from
# starting or from following the list of servers.
# usage: oddrows.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

# repeat COUNT TEXT: prints TEXT, which may have escapes, COUNT times.
repeat() {
    printf "%0$1d" 0 | sed "s/0/$2/g"
}

sound='"service":"pool","zone":"z","version":"v1","state":"ready","sequence":1,"coldRemainingMs":0'
mkdir "$FLEET_DIR/odd"
cd "$FLEET_DIR/odd"
{ repeat 100000 '['; repeat 100000 ']'; } >arrays
{ repeat 100000 '{"a":'; printf 1; repeat 100000 '}'; } >objects
{ printf '{%s,"address":"%s:19711","slots":8,"more":' "$sound" "$FLEET_IP"; cat arrays; printf '}'; } \
    >deep-member
{ printf '{"version":9,"routeTable":'; cat arrays; printf ',"begun":'; cat arrays; printf '}'; } >deep-list
printf '{%s,"address":"%s:19711","slots":1e999}' "$sound" "$FLEET_IP" >number
printf '{%s,"address":"%s:19711","slots":%s}' "$sound" "$FLEET_IP" "$(repeat 400 9)" >digits
printf '{%s,"address":"%s:99999","slots":8}' "$sound" "$FLEET_IP" >port
repeat 150000 '\x81' >cbor-arrays
{ repeat 150000 '\x81'; printf '\x01'; } >cbor-whole
repeat 150000 '\xa1\x61a' >cbor-maps
repeat 150000 '\x9f' >cbor-endless-arrays
repeat 150000 '\x7f' >cbor-endless-texts
repeat 150000 '\xc6' >cbor-tags
printf '\x9b\x7f\xff\xff\xff\xff\xff\xff\xff' >cbor-array-length
printf '\xbb\xff\xff\xff\xff\xff\xff\xff\xff' >cbor-map-length
printf '\x5b\x7f\xff\xff\xff\xff\xff\xff\xff' >cbor-bytes-length
printf '\xa2\x6bwrittenAtMs\x01\x65begun\x9b\xff\xff\xff\xff\xff\xff\xff\xff' >cbor-list-length
{ printf '\xa2\x6bwrittenAtMs\x01\x65begun'; cat cbor-whole; } >cbor-list
cd - >/dev/null

# odd_rows TABLE PART PREFIX: writes each odd value to a row of its own.
odd_rows() {
    local file
    for file in "$FLEET_DIR"/odd/*; do
        { printf '{"puts":[{"table":"%s","part":"%s","key":"%s%s","value":"' "$1" "$2" "$3" \
            "$(basename "$file")"; base64 -w0 "$file"; printf '"}]}'; } >"$FLEET_DIR/row"
        curl -sf -o "$FLEET_DIR/put" "http://$FLEET_IP:$STORE/-/rows-tx" \
            --data-binary "@$FLEET_DIR/row" || fleet_fail "the row was not written: $1 $file"
    done
}

# odd_datagrams N FILE: sends three datagrams to gateway N that join to one report of FILE's bytes.
odd_datagrams() {
    local i
    exec 9>"/dev/udp/$FLEET_IP/1975$1"
    for i in 0 1 2; do
        { printf '\xff\x01\x02\x03\x04\x05\x06\x07\x08\x0'"$i"'\x03'
            dd if="$2" bs=59989 skip="$i" count=1 status=none; } >"$FLEET_DIR/datagram"
        cat "$FLEET_DIR/datagram" >&9
    done
    exec 9>&-
}

# is_alive N: whether the process of gateway N runs.
is_alive() {
    kill -0 "${GATEWAYS[$1]}" 2>/dev/null
}

# check_both WHAT: fails unless both gateways are alive and ready and serve.
check_both() {
    local i
    for i in 1 2; do
        is_alive "$i" || fleet_fail "gateway $i has ended: $1"
        is_ready "$i" || fleet_fail "gateway $i is not ready: $1"
        expect "a call to gateway $i: $1" "$(call "$i" "/read/$RANDOM")" 200
        expect "a stream of gateway $i: $1" "$(call "$i" "/stream/$RANDOM" "${prompt[@]}")" 200
    done
}

odd_rows servers "" odd-
odd_rows op "" odd-
odd_rows op "" evacuate/
odd_rows op "" rollout/
odd_rows routers hosts odd-
odd_rows versions "" odd-
odd_rows streams streams odd-
odd_rows rollouts "" odd-
odd_rows status "" odd-
odd_rows status "" rollout/

# The gateways follow the list: a server is found and another one goes.
fleet_standin server-4 deployedserverstandin 19714 --id i-4 --work-ms 20
server 4 pool ready
put servers i-2 null
follows() {
    grep -q '"server.found","server":"i-4@' "$FLEET_DIR/gateway-$1.out" \
        && grep -q '"server.gone","server":"i-2@' "$FLEET_DIR/gateway-$1.out"
}
for i in 1 2; do
    fleet_until "the new list at gateway $i" follows "$i"
done
check_both "odd rows"

for file in cbor-arrays cbor-whole cbor-maps cbor-endless-arrays cbor-endless-texts cbor-tags; do
    for i in 1 2; do
        odd_datagrams "$i" "$FLEET_DIR/odd/$file"
    done
    # Each gateway reads what came before this call's answer is written.
    check_both "datagrams of $file"
done

# Gateways that start read every table anew.
kill -KILL "${GATEWAYS[@]}"
for i in 1 2; do
    wait "${GATEWAYS[$i]}" 2>/dev/null || true
done
put servers i-4 null
server 2 pool ready
for i in 1 2; do
    gateway_start "$i"
done
for i in 1 2; do
    fleet_until "gateway-$i after the kill" is_ready "$i"
    fleet_until "both gateways at $i after the kill" lists_gateways "$i" 2
done
check_both "start beside odd rows"
