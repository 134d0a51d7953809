#!/usr/bin/env bash
# Runs three gateways, a store and four backend servers as processes. Callers send requests all the
# time while faults are injected from outside: signals, restarts, a faulty proxy before the store
# and the servers, revoked and restored keys, servers that leave or restart under their id, that ask
# for a pause or announce in their answers that they leave, and entries that no server wrote. Servers
# differ in speed and tell their load. With seeds from 40 on, each start of a server has another
# software version than the start before it. At the end, the answers that callers received and the requests that
# servers ran are checked against every guarantee. SEED determines the run except for the timing of
# processes.
# usage: soak.sh BUILD_FOLDER SEED SECONDS
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
seed=$2
seconds=$3
. tests/processes/deployment.sh
RANDOM=$seed
REVOCATION_MS=3000
version=100
next_id=10
# Seeds up to 18 use only the first 12 kinds of fault, and seeds up to 29 the first 15, so that each
# still injects the same faults.
fault_kinds=12
[ "$seed" -le 18 ] || fault_kinds=15
[ "$seed" -le 29 ] || fault_kinds=17
SERVER_PID=()
SERVER_ID=()
SERVER_BORN=()
SERVER_VERSION=()
SERVICE=()

cleanup() {
    local pid
    for pid in "${SERVER_PID[@]}" "${callers:-}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    fleet_cleanup
}
trap cleanup EXIT

# Gateways use the ports of the proxy: 19810 for the store and 1982N for the server at port 1971N.
proxy_command() {
    printf '%s' "$*" >"/dev/udp/$FLEET_IP/19800"
}
now_ms() { date +%s%3N; }
log_fault() { echo "$(now_ms) $*" >>"$FLEET_DIR/faults"; }

# start_server SLOT SERVICE [ID]: starts the server at port 1971SLOT, under a new id if none is
# given.
start_server() {
    local slot=$1 id=${3:-i-$next_id}
    next_id=$((next_id + 1))
    "$FLEET_BUILD/tests/standins/deployedserverstandin" --address "$FLEET_IP:1971$slot" --id "$id" \
        --work-ms "$((10 + slot % 3 * 15))" --events 12 --print-runs true --tells-load true \
        >>"$FLEET_DIR/runs" 2>>"$FLEET_DIR/servers.log" &
    SERVER_PID[$slot]=$!
    SERVER_ID[$slot]=$id
    SERVER_BORN[$slot]=$(now_ms)
    SERVER_VERSION[$slot]=v1
    [ "$seed" -lt 40 ] || SERVER_VERSION[$slot]=v$((1 + next_id % 2))
    SERVICE[$slot]=$2
    register "$slot" ready
}
register() {
    put servers "${SERVER_ID[$1]}" '{"service":"'"${SERVICE[$1]}"'","zone":"z",
        "version":"'"${SERVER_VERSION[$1]}"'","address":"'"$FLEET_IP"':1982'"$1"'","slots":8,"state":"'"$2"'","sequence":1,
        "coldRemainingMs":0,"born":'"${SERVER_BORN[$1]}"'}'
}
crash_server() {
    kill -KILL "${SERVER_PID[$1]}" 2>/dev/null || true
    wait "${SERVER_PID[$1]}" 2>/dev/null || true
}
remove_server() {
    crash_server "$1"
    put servers "${SERVER_ID[$1]}" null
}
start_gateway() {
    # The gateway reaches the store through the proxy.
    STORE=19810 gateway_start "$1"
}
change_keys() {
    version=$((version + 1 + RANDOM % 5))
    # A change that grants key-2 is logged before it is sent, one that revokes it after it is
    # acknowledged: gateways can see a change before the call that wrote it returns.
    case "$1" in
    *key-2*) log_fault "keys $1"
        configure "$version" "$1" ;;
    *) configure "$version" "$1"
        log_fault "keys $1" ;;
    esac
}

inject_fault() {
    local gateway=$((1 + RANDOM % 3)) slot=$((1 + RANDOM % 4)) length=$((1 + RANDOM % 3))
    case $((RANDOM % fault_kinds)) in
    0) log_fault "kill gateway $gateway"
        kill -KILL "${GATEWAYS[$gateway]}" 2>/dev/null || true
        wait "${GATEWAYS[$gateway]}" 2>/dev/null || true
        start_gateway "$gateway" ;;
    1) log_fault "stop gateway $gateway"
        kill -TERM "${GATEWAYS[$gateway]}" 2>/dev/null || true
        wait "${GATEWAYS[$gateway]}" \
            || echo "gateway $gateway exited with status $?" >>"$FLEET_DIR/violations"
        start_gateway "$gateway" ;;
    2) log_fault "suspend gateway $gateway for $length s"
        kill -STOP "${GATEWAYS[$gateway]}"
        sleep "$length"
        kill -CONT "${GATEWAYS[$gateway]}" ;;
    3) log_fault "crash server $slot"
        remove_server "$slot"
        start_server "$slot" "${SERVICE[$slot]}" ;;
    4) log_fault "drain server $slot"
        register "$slot" draining
        sleep 2.5
        remove_server "$slot"
        start_server "$slot" "${SERVICE[$slot]}" ;;
    5) log_fault "store down $length s"
        fault $STORE '{"mode":"down"}'
        sleep "$length"
        fault $STORE '{"mode":"none"}' ;;
    6) log_fault "store loses answers"
        fault $STORE '{"mode":"loseAnswers","count":'"$length"'}' ;;
    7) log_fault "store silent $length s"
        proxy_command 19810 silent
        sleep "$((length + 1))"
        proxy_command 19810 reset
        proxy_command 19810 pass ;;
    8) log_fault "store has no history"
        fault $STORE '{"mode":"historyGone","count":4}' ;;
    9) log_fault "faulty link to server $slot"
        local modes=(silent oneway refuse "delay 250")
        proxy_command "1982$slot" ${modes[RANDOM % 4]}
        sleep "$length"
        proxy_command "1982$slot" reset
        proxy_command "1982$slot" pass ;;
    10) change_keys '["key-1"]' ;;
    11) change_keys '["key-1","key-2"]' ;;
    12) log_fault "restart server $slot under its id"
        crash_server "$slot"
        start_server "$slot" "${SERVICE[$slot]}" "${SERVER_ID[$slot]}" ;;
    13) log_fault "drain server $slot and restart it under its id"
        register "$slot" draining
        sleep 2.5
        crash_server "$slot"
        start_server "$slot" "${SERVICE[$slot]}" "${SERVER_ID[$slot]}" ;;
    14) log_fault "server entry from another writer"
        local entries=('{"state":7}' '"text"' '{"service":"pool","state":"novel"}')
        put servers "another-$slot" "${entries[RANDOM % 3]}"
        sleep "$length"
        put servers "another-$slot" null ;;
    15) log_fault "server $slot asks for a pause of $length s"
        server_fault "$slot" '{"mode":"refuse","retryAfter":"'"$length"'"}'
        sleep "0.$((3 + RANDOM % 6))"
        server_fault "$slot" '{"mode":"none"}' ;;
    16) log_fault "server $slot announces that it leaves"
        server_fault "$slot" '{"mode":"leaving"}'
        sleep "$length"
        remove_server "$slot"
        start_server "$slot" "${SERVICE[$slot]}" ;;
    esac
}

# server_fault SLOT JSON: sets the fault of a server. A server that has just been started may not
# listen yet; it then has no fault.
server_fault() {
    curl -sf -o "$FLEET_DIR/fault" "http://$FLEET_IP:1971$1/faults" -d "$2" || true
}

# check_unwanted GATEWAY: reports requests that the gateway wrote to a server after the server had
# told it that it wants none.
check_unwanted() {
    local written
    written=$(curl -sf "http://$FLEET_IP:1976$1/metrics" \
        | awk '/^lagoonmast_gateway_unwanted_requests_total/ { n += $2 } END { print n + 0 }')
    [ "$written" = 0 ] \
        || echo "gateway $1 wrote $written requests to servers that wanted none" \
            >>"$FLEET_DIR/violations"
}

# check_versions: reports streams whose events came from servers of several software versions.
check_versions() {
    cat "$FLEET_DIR"/gateway-*.out \
        | jq -r 'select(.events > 0 and (.event == "request.attempt_failed"
            or (.event == "request.end" and .outcome == "streamed"))) | "\(.request) \(.version)"' \
        | sort -u | cut -d' ' -f1 | uniq -d \
        | sed 's/^/a stream has events of two versions: /' >>"$FLEET_DIR/violations"
}

fleet_standin store rowstorestandin $STORE
fleet_start proxy "$FLEET_BUILD/tests/soak/faultproxy" "$FLEET_IP" 19800 "19810:$STORE" \
    19821:19711 19822:19712 19823:19713 19824:19714
fleet_until proxy grep -qx ready "$FLEET_DIR/proxy.out"
: >"$FLEET_DIR/violations"
change_keys '["key-1","key-2"]'
for slot in 1 2; do start_server $slot pool; done
for slot in 3 4; do start_server $slot app; done
for i in 1 2 3; do start_gateway $i; done
for i in 1 2 3; do fleet_until "all gateways at $i" lists_gateways $i 3; done

"$FLEET_BUILD/tests/soak/soakcaller" "$FLEET_IP" "$seed" 12 >"$FLEET_DIR/requests" &
callers=$!
end=$((SECONDS + seconds))
while [ $SECONDS -lt $end ]; do
    inject_fault
    sleep "0.$((1 + RANDOM % 8))"
done

# All faults are removed; callers must be served again.
fault $STORE '{"mode":"none"}'
for port in 19810 19821 19822 19823 19824; do proxy_command $port pass; done
change_keys '["key-1","key-2"]'
sleep 5
recovered=$(now_ms)
sleep 3
kill $callers
wait $callers
for i in 1 2 3; do
    check_unwanted $i
    kill -TERM "${GATEWAYS[$i]}" \
        || echo "gateway $i exited before it was stopped" >>"$FLEET_DIR/violations"
    wait "${GATEWAYS[$i]}" || echo "gateway $i exited with status $?" >>"$FLEET_DIR/violations"
done
for slot in 1 2 3 4; do remove_server $slot; done
check_versions

awk -v recovered="$recovered" -v allowed="$REVOCATION_MS" '
    FILENAME ~ /faults$/ { if ($2 == "keys") { n++; at[n] = $1; has[n] = ($0 ~ /key-2/) } next }
    FILENAME ~ /runs$/ { if ($1 == "run") runs[$2]++; next }
    {
        requests++
        if ($6 ~ /^bad/) print "a wrong or incomplete answer:", $0
        if ($2 == "once" && runs[$1] > 1) print "ran", runs[$1], "times:", $0
        if ($2 == "once" && $5 ~ /^(503|429|401|404)$/ && runs[$1] > 0)
            print "ran although it was refused:", $0
        if ($3 == "key-1" && $5 == "401") print "a valid key was refused:", $0
        if ($5 == "404") print "a route was not found:", $0
        if ($3 == "key-2" && runs[$1] > 0) {
            last = 0
            for (i = 1; i <= n; i++) if (at[i] <= $4) last = i
            if (last > 0 && !has[last] && $4 - at[last] > allowed)
                print "a revoked key was used:", $0
        }
        if ($4 > recovered) { total++; if ($6 == "served") served++ }
    }
    END {
        if (requests < 20) print "only", requests, "requests"
        if (served < 0.9 * total)
            print "only", served, "of", total, "served after the faults were removed"
        print requests, "requests,", served "/" total, "served at the end" >"/dev/stderr"
    }' "$FLEET_DIR/faults" "$FLEET_DIR/runs" "$FLEET_DIR/requests" >>"$FLEET_DIR/violations"
if [ -s "$FLEET_DIR/violations" ]; then
    kept=${SOAK_KEEP:-$(mktemp -d)}
    cp -r "$FLEET_DIR"/. "$kept"/
    echo "seed $seed: failed; logs in $kept" >&2
    head -20 "$FLEET_DIR/violations" >&2
    exit 1
fi
GATEWAYS=()
fleet_terminate "${FLEET_PIDS[@]:0:2}" || true
FLEET_PIDS=()
echo "seed $seed: passed"
