#!/usr/bin/env bash
# Guards against streams that go on at another software version than the one that began them, within
# one answer, at another gateway, and after the gateway that began them was killed.
# usage: streamversions.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

# Two servers of each version serve side by side.
for i in 4 5; do
    fleet_standin "server-$i" deployedserverstandin "1971$i" --id "i-$i" --work-ms 20
    VERSION=v2 server "$i" pool ready
done
for i in 1 2; do
    fleet_until "the new servers at gateway $i" knows "$i" found 5
done

# Servers crash in the middle of streams, which the gateway resumes.
for port in 19711 19712 19714 19715; do
    fault $port '{"mode":"cut","afterEvents":3,"count":4}'
done
whole=0
for n in $(seq 1 20); do
    try 1 "$n" "s-$n" >/dev/null
    is_whole_stream 8 "/stream/$n" && whole=$((whole + 1))
done
expect "streams of two versions, resumed within an answer" "$(mixed)" 0
[ "$whole" -ge 10 ] || fleet_fail "only $whole of 20 streams are whole"

# Callers take streams up at the other gateway, which may have to be told first.
for n in $(seq 21 60); do
    expect "stream $n" "$(try 1 "$n" "s-$n")" 200
done
for n in $(seq 21 35); do
    fleet_until "stream $n at the other gateway" resumed 2 "$n"
done
expect "streams of two versions, taken up at the other gateway" "$(mixed)" 0

# The gateway that began them is killed. Its last streams may not have been told.
kill -KILL "${GATEWAYS[1]}"
count=0
for n in $(seq 36 50); do
    resumed 2 "$n" && count=$((count + 1))
done
expect "streams of two versions after the gateway was killed" "$(mixed)" 0
[ "$count" -ge 8 ] || fleet_fail "only $count of 15 streams went on"

# It starts again and knows what the other one does.
gateway_start 1
fleet_until "gateway-1" is_ready 1
for n in $(seq 41 45); do
    fleet_until "stream $n at the gateway that started again" resumed 1 "$n"
done
expect "streams of two versions after the gateway started again" "$(mixed)" 0

# Nobody knows how this one began.
expect "an unknown stream" \
    "$(try 2 99 again-99 -H 'Last-Event-Id: 3' -H 'Resumes: s-99')" 503
grep -q '"ran":"no"' "$FLEET_DIR/body" || fleet_fail "not refused: $(cat "$FLEET_DIR/body")"
expect "runs of it" "$(journals 19711 19712 19714 19715 | grep -c stream/99)" 0
fleet_terminate "${GATEWAYS[@]}" || fleet_fail "a gateway did not exit with 0"
