#!/usr/bin/env bash
# Guards against streams that do not go on after all gateways were killed while servers of two
# versions serve, and against streams that go on at the other version.
# usage: versionskilledserving.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh
deployment_up

# taken_up GATEWAY N: whether the gateway goes on with stream N at once or at its return.
taken_up() {
    local round
    for round in 1 2; do
        ! resumed "$1" "$2" || return 0
        sleep 0.3
    done
    return 1
}

# Streams begin before a release and in it.
for n in $(seq 1 20); do
    expect "stream $n" "$(try 1 "$n" "s-$n")" 200
done
for i in 4 5; do
    fleet_standin "server-$i" deployedserverstandin "1971$i" --id "i-$i" --work-ms 20
    VERSION=v2 server "$i" pool ready
done
for i in 1 2; do
    fleet_until "the new servers at gateway $i" knows "$i" found 5
done
for n in $(seq 21 60); do
    expect "stream $n" "$(try $((1 + n % 2)) "$n" "s-$n")" 200
done
[ "$(journals 19714 19715 | wc -l)" -ge 5 ] || fleet_fail "no streams at the new version"

kill -KILL "${GATEWAYS[@]}"
for i in 1 2; do
    gateway_start "$i"
done
for i in 1 2; do
    fleet_until "gateway-$i" is_ready "$i"
done

begun=0
for n in $(seq 101 140); do
    [ "$(try $((1 + n % 2)) "$n" "s-$n")" != 200 ] || begun=$((begun + 1))
done
[ "$begun" -ge 20 ] || fleet_fail "only $begun of 40 new streams began"

# those_that_went_on NAME FIRST STEP LAST: fails unless half of the share of new streams go on.
those_that_went_on() {
    local n asked=0 went_on=0
    for n in $(seq "$2" "$3" "$4"); do
        asked=$((asked + 1))
        ! taken_up $((1 + asked % 2)) "$n" || went_on=$((went_on + 1))
    done
    echo "$went_on of $asked streams went on: $1"
    [ $((went_on * 2 * 40)) -ge $((begun * asked)) ] \
        || fleet_fail "$went_on of $asked went on, $begun of 40 new ones began: $1"
}
those_that_went_on "begun before the release" 1 1 20
those_that_went_on "begun in the release by gateway 1" 22 2 60
those_that_went_on "begun in the release by gateway 2" 21 2 59
expect "streams of two versions" "$(mixed)" 0
# Nobody knows how this one began.
expect "an unknown stream" \
    "$(try 2 99 again-99 -H 'Last-Event-Id: 3' -H 'Resumes: s-99')" 503
grep -q '"ran":"no"' "$FLEET_DIR/body" || fleet_fail "not refused: $(cat "$FLEET_DIR/body")"
