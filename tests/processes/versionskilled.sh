#!/usr/bin/env bash
# Guards against streams that go on at another software version after all gateways were killed, and
# against streams that do not go on although one version alone has served.
# usage: versionskilled.sh BUILD_FOLDER MOMENT
# MOMENT tells what has become of the servers that began the streams when the gateways are killed:
# staying, leaving (they have announced that they leave) or gone (their entries are removed).
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
MOMENT=$2
. tests/processes/deployment.sh
deployment_up

new_stream() { [ "$(try 1 99 "new-$RANDOM$RANDOM")" = 200 ]; }

streams=$(seq 1 12)
for n in $streams; do
    expect "stream $n" "$(try 1 "$n" "s-$n")" 200
done

if [ "$MOMENT" != staying ]; then
    for i in 4 5; do
        fleet_standin "server-$i" deployedserverstandin "1971$i" --id "i-$i" --work-ms 20
        VERSION=v2 server "$i" pool ready
    done
    for i in 1 2; do
        fleet_until "the new servers at gateway $i" knows "$i" found 5
    done
    for i in 1 2; do
        if [ "$MOMENT" = leaving ]; then
            server "$i" pool draining
        else
            put servers "i-$i" null
        fi
    done
    for i in 1 2; do
        fleet_until "the end of the old servers at gateway $i" knows "$i" "$MOMENT" 2
    done
fi

kill -KILL "${GATEWAYS[@]}"
for i in 1 2; do
    gateway_start "$i"
done
for i in 1 2; do
    fleet_until "gateway-$i" is_ready "$i"
done

if [ "$MOMENT" = staying ]; then
    for n in $streams; do
        fleet_until "stream $n" resumed 2 "$n"
    done
else
    for round in 1 2 3; do
        for n in $streams; do
            gateway=$((1 + (n + round) % 2))
            expect "stream $n" "$(try $gateway "$n" "again-$n-$round" -H 'Last-Event-Id: 3' \
                -H "Resumes: s-$n")" 503
            grep -q '"ran":"no"' "$FLEET_DIR/body" || fleet_fail "not refused: $(cat "$FLEET_DIR/body")"
        done
    done
    # New streams begin.
    fleet_until "a new stream" new_stream
fi
expect "streams of two versions" "$(mixed)" 0
