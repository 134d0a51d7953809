#!/usr/bin/env bash
# Guards against streams that end as complete before their last event, since the process of their
# server was killed: its connections then end like that of a whole answer without a length.
# usage: serverkilledmidstream.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh

# stream_server N: starts server N, whose answers have neither a length nor chunks.
stream_server() {
    fleet_start "server-$1" "$FLEET_BUILD/tests/soak/streamserver" "$FLEET_IP" "1971$1" "i-$1" v1 \
        "$1" 0 60 100
    SERVERS[$1]=$!
    fleet_until "server-$1" grep -qx ready "$FLEET_DIR/server-$1.out"
    server "$1" pool ready
}

# read_streams KIND FIRST LAST: reads the streams at once; writes each into the file of its name,
# and curl's verdict behind it.
read_streams() {
    local n
    for n in $(seq "$2" "$3"); do
        (
            ec=0
            curl -sN --max-time 15 -o "$FLEET_DIR/$1-$n" "http://$FLEET_IP:1972$((1 + n % 2))/$1/$n" \
                -H 'Host: cars.example' -H 'Deadline-Ms: 12000' -H "Attempt-Id: $1-$n" \
                -H 'Authorization: Bearer key-1' -H 'Model: m' -H 'Token-Count: 700,40' \
                -H "Prefix-Hash: a$n:500,b$n:200" -d 'a question' || ec=$?
            echo "$1-$n $ec" >>"$FLEET_DIR/verdicts"
        ) &
        READERS+=($!)
    done
}

# events NAME: prints how many events the stream has, and how many a whole one has.
events() {
    awk '/^data: / { n++; split($3, of, "/") } END { print n + 0, of[2] + 0 }' "$FLEET_DIR/$1"
}

SERVERS=()
fleet_standin store rowstorestandin $STORE
put op config '{"version":4,"routeTable":['"$(route stream streaming pool ',"streamResume":true')"',
        '"$(route note streaming pool ',"streamResume":false')"'],
    "services":[{"name":"pool","maxConnections":64,"engine":{"slots":64,"kvCapacity":100000}}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000,"tokensPerS":100000},
    "tenants":[{"name":"dealer","apiKeys":["key-1"],"priority":1}]}'
for n in 1 2; do stream_server "$n"; done
for i in 1 2; do gateway_start "$i"; done
for i in 1 2; do fleet_until "gateway-$i" is_ready "$i"; done

early=0
broken=0
for round in 1 2 3; do
    READERS=()
    read_streams stream $((round * 100 + 1)) $((round * 100 + 12))
    read_streams note $((round * 100 + 1)) $((round * 100 + 12))
    fleet_until "streams in round $round" test -s "$FLEET_DIR/stream-$((round * 100 + 12))"
    victim=$((1 + round % 2))
    kill -KILL "${SERVERS[$victim]}"
    wait "${SERVERS[$victim]}" 2>/dev/null || true
    wait "${READERS[@]}"
    stream_server "$victim"
done
while read -r name ec; do
    read -r n total <<<"$(events "$name")"
    [ "$ec" = 0 ] || broken=$((broken + 1))
    if [ "$ec" = 0 ] && [ "$n" -gt 0 ] && [ "$n" -lt "$total" ]; then
        early=$((early + 1))
        echo "$name: complete after $n of $total events"
    fi
done <"$FLEET_DIR/verdicts"
echo "$broken streams were told as broken off, $early as complete too early"
touch "$FLEET_DIR/body"
expect "streams that end as complete too early" "$early" 0
