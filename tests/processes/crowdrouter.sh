#!/usr/bin/env bash
# Guards against a crowd of clients that takes a router past its memory, that it reads from without
# end, or that takes all of its connections: requests that stop short of their end, bodies over the
# limit, silent connections.
# usage: crowdrouter.sh BUILD_FOLDER KIND [TARGET]
# KIND is one of the program crowd.
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
kind=$2
target=${3:-/v1/chat/completions}
. tests/processes/common.sh

memory_mb=96
body_bytes=1048576
descriptors=400
crowd=100
[ "$kind" != idle ] || crowd=600

FLEET_LIMITS='"bodyBytes":'$body_bytes',"memoryMb":'$memory_mb
# The limit is that of the routers and the stand-ins alone.
limit=$(ulimit -Sn)
ulimit -Sn "$descriptors"
fleet_up
ulimit -Sn "$limit"
router=$(router_pid 1)

# check_process WHEN: fails unless the router lives within its memory.
check_process() {
    kill -0 "$router" 2>/dev/null || fleet_fail "$1 the router has ended"
    local peak open
    open=$(ls "/proc/$router/fd" | wc -l)
    peak=$(awk '$1 == "VmHWM:" { print $2 }' "/proc/$router/status")
    echo "$1: peak $peak kB, $open descriptors"
    [ "$peak" -le $((memory_mb * 1024)) ] || fleet_fail "$1 the peak is $peak kB of $memory_mb MB"
    [ "$open" -lt "$descriptors" ] || fleet_fail "$1 all $descriptors descriptors are open"
}

check_process "before the crowd"
"$FLEET_BUILD/tests/processes/crowd" "$FLEET_IP" 18711 "$kind" "$crowd" "$body_bytes" "$target" \
    "Host: $FLEET_IP" 'Authorization: Bearer example-key-dealer' \
    'X-Lagoonmast-Class: buyer-replies' 'Content-Type: application/json' >"$FLEET_DIR/crowd" &
CALLERS+=($!)
fleet_until "the crowd, refused or at its end," grep settled "$FLEET_DIR/crowd"
cat "$FLEET_DIR/crowd"
check_process "beside the crowd"
fleet_answers "$FLEET_IP:18711" || fleet_fail "no answer beside the crowd"
kill "${CALLERS[-1]}"
wait "${CALLERS[-1]}"
unset 'CALLERS[-1]'
fleet_answers "$FLEET_IP:18711" || fleet_fail "no answer after the crowd"
check_process "after the crowd"
fleet_stop || fleet_fail "a process did not exit with 0"
