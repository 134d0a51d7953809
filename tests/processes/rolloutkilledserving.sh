#!/usr/bin/env bash
# Guards against streams of the new version of a roll-out that do not go on after all gateways were
# killed while its servers serve, and against streams that go on at the other version.
# usage: rolloutkilledserving.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
# Half of the streams begin at the new version, and it is tested until the end of this run.
export MORE_SETTINGS='"rollouts":{"exposureShare":0.9,"exposureSlack":50,"rollBackMs":3000},'
deployment_up

state_is() {
    [ "$(curl -sf "http://$FLEET_IP:$STORE/-/rows-get?table=status&part=" \
        | jq -r '.rows[] | select(.key == "rollout/pool") | .value' \
        | base64 -d | jq -r .state)" = "$1" ]
}
# taken_up GATEWAY N: whether the gateway goes on with stream N at once or at its return.
taken_up() {
    local round
    for round in 1 2; do
        ! resumed "$1" "$2" || return 0
        sleep 0.3
    done
    return 1
}

put op rollout/pool '{"service":"pool","to":"v2","durationS":120}'
for i in 4 5; do
    fleet_standin "server-$i" deployedserverstandin "1971$i" --id "i-$i" --work-ms 20
    VERSION=v2 server "$i" pool ready
done
for i in 1 2; do
    fleet_until "the new servers at gateway $i" knows "$i" found 5
done
fleet_until "the state of the roll-out" state_is active
for n in $(seq 1 40); do
    expect "stream $n" "$(try $((1 + n % 2)) "$n" "s-$n")" 200
done
begun_at_new=$(journals 19714 19715 | sed 's|/stream/||')
asked=$(wc -w <<<"$begun_at_new")
[ "$asked" -ge 12 ] || fleet_fail "only $asked streams at the new version"

kill -KILL "${GATEWAYS[@]}"
for i in 1 2; do
    gateway_start "$i"
done
for i in 1 2; do
    fleet_until "gateway-$i" is_ready "$i"
done

went_on=0
for n in $(seq 1 40); do
    taken_up $((1 + n % 2)) "$n" || continue
    ! grep -qx "$n" <<<"$begun_at_new" || went_on=$((went_on + 1))
done
begun=0
for n in $(seq 101 120); do
    [ "$(try $((1 + n % 2)) "$n" "s-$n")" != 200 ] || begun=$((begun + 1))
done
echo "$went_on of $asked streams went on, $begun of 20 new ones began"
state_is active || fleet_fail "the roll-out is over"
expect "streams of two versions" "$(mixed)" 0
[ $((went_on * 2 * 20)) -ge $((begun * asked)) ] \
    || fleet_fail "$went_on of $asked streams went on, $begun of 20 new ones began"
