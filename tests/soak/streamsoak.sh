#!/usr/bin/env bash
# Runs a fleet of gateways, a store and backend servers of two software versions as processes.
# Callers read streams, some of them slowly, leave some and take broken ones up at another gateway,
# while servers cut, reset and pause their answers and processes are killed, paused, stopped and
# replaced. Each event tells which run made it; callers check that every event comes once, in order,
# from one run or a proper resumption, and from one software version.
# usage: streamsoak.sh BUILD_FOLDER SEED SECONDS [FLEET]
# FLEET is one of eight, six, uneven and eighty. RELEASES=false leaves every server at one version.
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
PEERS=${PEERS:-$FLEET_BUILD}
seed=$2
seconds=$3
fleet=${4:-uneven}
releases=${RELEASES:-true}
# RESTARTS=true also restarts servers under their id, at another version.
fault_kinds=13
[ "${RESTARTS:-false}" = false ] || fault_kinds=14
. tests/processes/deployment.sh
RANDOM=$seed

# Zones of the gateways; number of servers; streams as NAME-EVENTS[!]:TIMEOUT_MS, where ! marks those
# that may not be resumed; pause between events that is still on time.
case "$fleet" in
eight) zones=(a a a b b b c c) servers=9 gap_ms=400
    kinds=(digest-40:12000 'brief-17!:6000' ask-57:15000) ;;
six) zones=(a a b b c d) servers=18 gap_ms=500
    kinds=(summary-24:8000 'reply-10!:5000' tag-34:10000) ;;
uneven) zones=(a a b b c c) servers=12 gap_ms=400
    kinds=(check-64:15000 'notes-49!:12000' tag-4:3000) ;;
eighty) zones=() servers=60 gap_ms=400
    kinds=(summary-24:10000 'check-10!:6000' chat-34:12000)
    for i in $(seq 0 78); do zones+=("$(printf '%s' a b c | cut -c$((1 + i % 3)))"); done ;;
*) echo "unknown fleet $fleet" >&2; exit 2 ;;
esac
gateways=${#zones[@]}
callers=${CALLERS:-60}

CALLER_PORT=20100
SERVER_PORT=20600
declare -A SERVER_PID SERVER_ID SERVER_VERSION SERVER_AT SERVER_BORN
next_id=10
version=v1
config_version=100
# Actions that are due later, each as "TIME_MS COMMAND...".
due=()

cleanup() {
    local pid
    for pid in "${SERVER_PID[@]}" "${caller_pid:-}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    fleet_cleanup
}
trap cleanup EXIT

now_ms() { date +%s%3N; }
log_fault() { echo "$(now_ms) $*" >>"$FLEET_DIR/faults"; }
later() { due+=("$(($(now_ms) + $1)) ${*:2}"); }

write_configuration() {
    local routes='' it kind name resume
    for it in "${kinds[@]}"; do
        kind=${it%%:*}
        name=${kind%!}
        resume=true
        [ "$kind" = "$name" ] || resume=false
        routes+="${routes:+,}"'{"name":"'"$name"'","host":"cars.example","prefix":"/'"$name"'/",
            "routeKind":"streaming","service":"pool","timeoutMs":'"${it##*:}"',
            "targetLatencyMs":1000,"gapTargetMs":'"$gap_ms"',"maxAttempts":2,"priority":1,
            "anonymous":false,"streamResume":'$resume',"sessionAffinity":true}'
    done
    config_version=$((config_version + 1 + RANDOM % 5))
    put op config '{"version":'$config_version',"routeTable":['"$routes"'],
        "services":[{"name":"pool","maxConnections":360,"engine":{"slots":64,"kvCapacity":500000}}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,
            "idleTimeoutMs":15000,"tokensPerS":10000000},
        "tenants":[{"name":"dealer","apiKeys":["key-1"],"priority":1}]}'
}

register() {
    put servers "${SERVER_ID[$1]}" '{"service":"pool","zone":"'"${zones[$(($1 % gateways))]}"'",
        "version":"'"${SERVER_VERSION[$1]}"'","address":"'"$FLEET_IP:${SERVER_AT[$1]}"'",
        "slots":64,"state":"'"$2"'","sequence":1,"coldRemainingMs":0,"born":'"${SERVER_BORN[$1]}"'}'
}
# start_server SLOT VERSION [ID]: starts the server again under the id, or at another port under a
# new one, since the address of a server that has ended is not used by another one at once.
start_server() {
    [ -z "${SERVER_PID[$1]:-}" ] || end_server "$1"
    next_id=$((next_id + 1))
    [ -n "${3:-}" ] || SERVER_AT[$1]=$((SERVER_PORT + next_id % 400))
    SERVER_ID[$1]=${3:-i-$next_id}
    SERVER_VERSION[$1]=$2
    SERVER_BORN[$1]=$(now_ms)
    "$PEERS/tests/soak/streamserver" "$FLEET_IP" "${SERVER_AT[$1]}" "${SERVER_ID[$1]}" "$2" \
        $((seed * 1000 + next_id)) "${FAULTS:-12}" "${EVENT_MS:-40}" \
        >>"$FLEET_DIR/runs" 2>>"$FLEET_DIR/servers.log" &
    SERVER_PID[$1]=$!
    register "$1" ready
}
end_server() {
    kill -KILL "${SERVER_PID[$1]}" 2>/dev/null || true
    wait "${SERVER_PID[$1]}" 2>/dev/null || true
}
remove_entry() { put servers "$1" null; }
# replace_server SLOT: ends a server that has announced that it leaves, and starts its successor.
replace_server() {
    end_server "$1"
    remove_entry "${SERVER_ID[$1]}"
    start_server "$1" "$version"
}
# crashed_server_returns SLOT: the entry of the crashed one stays until it lapses.
crashed_server_returns() {
    later 2500 remove_entry "${SERVER_ID[$1]}"
    start_server "$1" "${SERVER_VERSION[$1]}"
}

start_gateway() {
    local i=$1
    ! kill -0 "${GATEWAYS[$i]:-0}" 2>/dev/null || [ "${GATEWAYS[$i]:-0}" = 0 ] || return 0
    cat >"$FLEET_DIR/gateway-$i.json" <<JSON
{"host":"gateway-$i","zone":"${zones[$((i - 1))]}","region":"r",
 "callerAddress":"$FLEET_IP:$((CALLER_PORT + i))","readinessAddress":"$FLEET_IP:$((20200 + i))",
 "discoveryAddress":"$FLEET_IP:$((20300 + i))","peerAddress":"$FLEET_IP:$((20400 + i))",
 "metricsAddress":"$FLEET_IP:$((20500 + i))","storeAddress":"$FLEET_IP:$STORE",
 "log":{"requestLinesPerSecond":1000},
 "bounds":{"shutdownGraceS":8,"keyRevocationMs":5000,"retryRatio":0.2,"retrySlack":56,
           "retryWindowS":10,"configurationMs":2000,"leavingMs":2000}}
JSON
    fleet_start "gateway-$i" "$FLEET_BUILD/src/app/lagoonmast" serve \
        --settings "$FLEET_DIR/gateway-$i.json"
    GATEWAYS[$i]=$!
}
kill_gateway() {
    kill -KILL "${GATEWAYS[$1]}" 2>/dev/null || true
    wait "${GATEWAYS[$1]}" 2>/dev/null || true
}
gateway_ready() { curl -sf -o "$FLEET_DIR/ready" "http://$FLEET_IP:$((20200 + $1))/-/readyz"; }

inject_fault() {
    local i=$((1 + RANDOM % gateways)) slot=$((RANDOM % servers)) n
    case $((RANDOM % fault_kinds)) in
    0 | 1) log_fault "kill gateway $i"
        kill_gateway "$i"
        later $((RANDOM % 1500)) start_gateway "$i" ;;
    2) log_fault "kill all gateways"
        for n in $(seq "$gateways"); do kill -KILL "${GATEWAYS[$n]}" 2>/dev/null || true; done
        n=$((RANDOM % 1500))
        for i in $(seq "$gateways"); do later "$n" start_gateway "$i"; done ;;
    3) log_fault "kill half of the gateways"
        for n in $(seq 1 2 "$gateways"); do
            kill_gateway "$n"
            later $((RANDOM % 800)) start_gateway "$n"
        done ;;
    4) log_fault "suspend gateway $i"
        kill -STOP "${GATEWAYS[$i]}" 2>/dev/null || true
        later $((200 + RANDOM % 3000)) kill -CONT "${GATEWAYS[$i]}" ;;
    5) log_fault "stop gateway $i"
        kill -TERM "${GATEWAYS[$i]}" 2>/dev/null || true
        later 9000 start_gateway "$i" ;;
    6 | 7) log_fault "crash server $slot"
        end_server "$slot"
        later $((300 + RANDOM % 2000)) crashed_server_returns "$slot" ;;
    8) log_fault "pause server $slot"
        kill -STOP "${SERVER_PID[$slot]}" 2>/dev/null || true
        later $((600 + RANDOM % 1200)) kill -CONT "${SERVER_PID[$slot]}" ;;
    9 | 10) [ "$releases" = true ] || return 0
        version=v$((1 + RANDOM % 3))
        log_fault "release $version"
        for n in $(seq 0 $((servers - 1))); do
            [ "${SERVER_VERSION[$n]}" != "$version" ] && [ $((RANDOM % 2)) = 0 ] || continue
            register "$n" draining
            later $((2200 + RANDOM % 1500)) replace_server "$n"
        done ;;
    11) log_fault "store down"
        fault $STORE '{"mode":"down"}'
        later $((500 + RANDOM % 3000)) fault $STORE '{"mode":"none"}' ;;
    12) log_fault "configuration"
        write_configuration ;;
    13) version=v$((1 + RANDOM % 3))
        log_fault "restart server $slot under its id at $version"
        end_server "$slot"
        start_server "$slot" "$version" "${SERVER_ID[$slot]}" ;;
    esac
}
# Writes that the store refuses while it is down are repeated by whoever sent them.
put() {
    local n
    for n in $(seq 100); do
        curl -sf -o "$FLEET_DIR/put" "http://$FLEET_IP:$STORE/put" \
            -d '{"table":"'"$1"'","part":"","key":"'"$2"'","value":'"$3"'}' && return 0
        fault $STORE '{"mode":"none"}'
        sleep 0.05
    done
    fleet_fail "the row was not written: $1 $2"
}
run_due() {
    local now kept=() it
    now=$(now_ms)
    local actions=("${due[@]}")
    due=()
    for it in "${actions[@]}"; do
        if [ "${it%% *}" -le "$now" ]; then
            ${it#* } 2>/dev/null || true
        else
            kept+=("$it")
        fi
    done
    due+=("${kept[@]}")
}

fleet_standin store rowstorestandin $STORE
write_configuration
for slot in $(seq 0 $((servers - 1))); do start_server "$slot" v1; done
for i in $(seq "$gateways"); do start_gateway "$i"; done
for i in $(seq "$gateways"); do fleet_until "gateway $i" gateway_ready "$i"; done

"$PEERS/tests/soak/streamcaller" "$FLEET_IP" "$seed" "$callers" "$gateways" \
    $((CALLER_PORT + 1)) "${kinds[@]%%:*}" >"$FLEET_DIR/streams" &
caller_pid=$!
end=$((SECONDS + seconds))
next_fault=$(($(now_ms) + 1500))
while [ $SECONDS -lt $end ]; do
    run_due
    if [ "$(now_ms)" -ge "$next_fault" ]; then
        inject_fault
        next_fault=$(($(now_ms) + 300 + RANDOM % 1500))
    fi
    sleep 0.05
done
kill -TERM $caller_pid
wait $caller_pid || true

awk '{ verdict[$4]++; taken += $10; on += $12; total++ }
    END { printf "%d streams, %d taken up, %d went on:", total, taken, on
          for (v in verdict) printf " %s %d", v, verdict[v]; print "" }' "$FLEET_DIR/streams" >&2
if grep -q ' bad_\|,bad_' "$FLEET_DIR/streams"; then
    kept=${SOAK_KEEP:-$(mktemp -d)}
    mkdir -p "$kept"
    cp -r "$FLEET_DIR"/. "$kept"/
    echo "seed $seed: failed; logs in $kept" >&2
    grep ' bad_\|,bad_' "$FLEET_DIR/streams" | head -10 >&2
    exit 1
fi
[ "$(awk '$4 == "ok"' "$FLEET_DIR/streams" | wc -l)" -ge 50 ] || fleet_fail "too few streams"
GATEWAYS=()
echo "seed $seed: passed"
