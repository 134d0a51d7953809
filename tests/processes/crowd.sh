#!/usr/bin/env bash
# Guards against a crowd of clients that takes a gateway past its memory, or takes all of its file
# descriptors: requests that stop short of their end, bodies over the limit, silent connections.
# usage: crowd.sh BUILD_FOLDER KIND [LISTENER [TARGET [KEY [EVENT]]]]
# KIND is one of the program crowd; LISTENER is caller, readiness, discovery, peer or metrics; EVENT
# is what happens while the crowd stays: lowered (limit of bodies), or stopped (the gateway).
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
kind=$2
listener=${3:-caller}
target=${4:-/once/crowd}
key=${5:-key-1}
event=${6:-}
. tests/processes/deployment.sh

memory_mb=48
descriptors=400
MAX_BODY_BYTES=524288
IDLE_TIMEOUT_MS=60000
MORE_SETTINGS='"memoryMb":'$memory_mb,
crowd=200
[ "$kind" != idle ] || crowd=600
declare -A ports=([caller]=19721 [readiness]=19731 [discovery]=19741 [peer]=19751 [metrics]=19761)

fleet_standin store rowstorestandin $STORE
fleet_standin server-3 deployedserverstandin 19713 --id i-3 --work-ms 20
FLEET_STANDINS=${#FLEET_PIDS[@]}
configure 4 '["key-1"]'
server 3 app ready
# The limit is that of the gateway alone.
limit=$(ulimit -Sn)
ulimit -Sn "$descriptors"
gateway_start 1
ulimit -Sn "$limit"
fleet_until "gateway-1" is_ready 1
gateway=${GATEWAYS[1]}

# check_process WHEN: fails unless the gateway lives within its memory and its descriptors.
check_process() {
    kill -0 "$gateway" 2>/dev/null || fleet_fail "$1 the gateway has ended"
    local peak open
    peak=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$gateway/status")
    open=$(ls "/proc/$gateway/fd" | wc -l)
    echo "$1: peak $peak kB, $open descriptors"
    [ "$peak" -le $((memory_mb * 1024)) ] || fleet_fail "$1 the peak is $peak kB of $memory_mb MB"
    [ "$open" -lt "$descriptors" ] || fleet_fail "$1 all $descriptors descriptors are open"
}

expect "a call before the crowd" "$(call 1 /read/before)" 200
# Whole bodies stay open while their server works on them.
[ "$kind" != whole ] || fault 19713 '{"mode":"slow","delayMs":4000,"count":'$crowd'}'
"$FLEET_BUILD/tests/processes/crowd" "$FLEET_IP" "${ports[$listener]}" "$kind" "$crowd" \
    "$MAX_BODY_BYTES" "$target" 'Host: cars.example' 'Attempt-Id: crowd' 'Deadline-Ms: 8000' \
    "Authorization: Bearer $key" >"$FLEET_DIR/crowd" &
FLEET_PIDS+=($!)
fleet_until "the crowd" grep settled "$FLEET_DIR/crowd"
cat "$FLEET_DIR/crowd"
check_process "beside the crowd"
expect "a call beside the crowd" "$(call 1 /read/beside)" 200
if [ "$event" = lowered ]; then
    MAX_BODY_BYTES=65536
    configure 5 '["key-1","key-2"]'
    KEY=key-2 fleet_until "the lower limit" served 1 /read/lowered
    check_process "beside the crowd, with a lower limit"
fi
if [ "$event" = stopped ]; then
    status=0
    kill "$gateway"
    wait "$gateway" || status=$?
    expect "exit status beside the crowd" "$status" 0
    kill "${FLEET_PIDS[-1]}"
    wait "${FLEET_PIDS[-1]}"
    FLEET_PIDS=("${FLEET_PIDS[@]:0:FLEET_STANDINS}")
    fleet_stop || fleet_fail "a process did not exit with 0"
    exit 0
fi
kill "${FLEET_PIDS[-1]}"
wait "${FLEET_PIDS[-1]}"
unset 'FLEET_PIDS[-1]'
fault 19713 '{"mode":"none"}'
expect "a call after the crowd" "$(call 1 /read/after)" 200
head -c "$MAX_BODY_BYTES" /dev/zero >"$FLEET_DIR/large"
expect "the largest body after the crowd" \
    "$(call 1 /once/after -X POST --data-binary "@$FLEET_DIR/large")" 200
expect "the largest body, in chunks" "$(call 1 /once/chunks -X POST \
    -H 'Transfer-Encoding: chunked' --data-binary "@$FLEET_DIR/large")" 200
check_process "after the crowd"
fleet_stop || fleet_fail "a process did not exit with 0"
