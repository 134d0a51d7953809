#!/usr/bin/env bash
# Runs three gateways, a store and backend servers as processes under planned work alone: gateways are
# told to stop and start again, one after the other or several at a time, settings files and the
# configuration change meanwhile, servers announce that they leave, and some become slow. Callers stay
# at each gateway until it is gone, at a rate at which something is always open. No request may end
# without an answer, and none that was refused may run. SEED determines the run except for the timing
# of processes.
# usage: plannedsoak.sh BUILD_FOLDER SEED SECONDS [CALLERS]
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
seed=$2
seconds=$3
callers=${4:-12}
. tests/processes/deployment.sh
RANDOM=$seed
LOG_LINES=1000
version=100
# Requests that had waited for longer than this when their connection ended count although no server
# ran them.
lossSlackMs=500
slots=(3 4 5 6)
SERVER_ID=()
next_id=10

now_ms() { date +%s%3N; }
log_change() { echo "$(now_ms) $*" >>"$FLEET_DIR/changes"; }
# server_entry SLOT STATE: writes the entry of the server at port 1971SLOT.
server_entry() {
    put servers "${SERVER_ID[$1]}" '{"service":"app","address":"'"$FLEET_IP"':1971'"$1"'",
        "zone":"z","version":"v1","slots":64,"state":"'"$2"'","sequence":1,"coldRemainingMs":0,
        "born":1764700000000}'
}
start_server() {
    next_id=$((next_id + 1))
    SERVER_ID[$1]=i-$next_id
    fleet_standin "server-$1-$next_id" deployedserverstandin "1971$1" --id "i-$next_id" \
        --work-ms "$((20 + RANDOM % 120))" --print-runs true
    SERVER_PID[$1]=$!
    server_entry "$1" ready
}
change_configuration() {
    version=$((version + 1 + RANDOM % 5))
    ROUTE_EXTRA=',"weight":'"$((1 + RANDOM % 9))" configure "$version" '["key-1"]'
}
stop_gateway() {
    kill -TERM "${GATEWAYS[$1]}"
}
restart_gateway() {
    wait "${GATEWAYS[$1]}" \
        || echo "gateway $1 exited with status $?" >>"$FLEET_DIR/violations"
    gateway_start "$1"
    fleet_until "gateway-$1" is_ready "$1"
}
# change_settings N: changes the settings file of gateway N, with or without a signal.
change_settings() {
    sed -i "s/\"retrySlack\":[0-9]*/\"retrySlack\":$((40 + RANDOM % 30))/" \
        "$FLEET_DIR/gateway-$1.json"
    [ $((RANDOM % 2)) = 0 ] || kill -HUP "${GATEWAYS[$1]}"
}

plan_change() {
    local i=$((1 + RANDOM % 3)) slot=${slots[RANDOM % 4]}
    case $((RANDOM % 7)) in
    0 | 1) log_change "stop gateway $i"
        stop_gateway "$i"
        change_configuration
        restart_gateway "$i" ;;
    2) log_change "stop gateways $i and $((i % 3 + 1))"
        stop_gateway "$i"
        sleep "0.$((RANDOM % 9))"
        stop_gateway $((i % 3 + 1))
        change_settings "$i"
        restart_gateway "$i"
        restart_gateway $((i % 3 + 1)) ;;
    3) log_change "stop gateway $i twice"
        stop_gateway "$i"
        sleep "0.$((RANDOM % 9))"
        stop_gateway "$i"
        restart_gateway "$i" ;;
    4) log_change "settings of gateway $i"
        change_settings "$i" ;;
    5) log_change "configuration"
        change_configuration ;;
    6) log_change "server $slot leaves"
        server_entry "$slot" draining
        sleep 3
        put servers "${SERVER_ID[$slot]}" null
        kill -TERM "${SERVER_PID[$slot]}"
        wait "${SERVER_PID[$slot]}" || true
        start_server "$slot" ;;
    esac
}

fleet_standin store rowstorestandin $STORE
: >"$FLEET_DIR/violations"
SERVER_PID=()
configure "$version" '["key-1"]'
for slot in "${slots[@]}"; do start_server "$slot"; done
for i in 1 2 3; do gateway_start $i; done
for i in 1 2 3; do fleet_until "all gateways at $i" lists_gateways $i 3; done
CALLER_PIDS=()
for i in 1 2 3; do
    "$FLEET_BUILD/tests/soak/stayingcaller" "$FLEET_IP" 1972$i "$((seed * 10 + i))" "$callers" \
        >"$FLEET_DIR/requests-$i" &
    CALLER_PIDS+=($!)
done
FLEET_PIDS+=("${CALLER_PIDS[@]}")
end=$((SECONDS + seconds))
while [ $SECONDS -lt $end ]; do
    plan_change
    sleep "0.$((1 + RANDOM % 8))"
done
for i in 1 2 3; do kill -TERM "${GATEWAYS[$i]}"; done
for i in 1 2 3; do
    wait "${GATEWAYS[$i]}" || echo "gateway $i exited with status $?" >>"$FLEET_DIR/violations"
done
kill -TERM "${CALLER_PIDS[@]}"
wait "${CALLER_PIDS[@]}"

sed -n 's/^run \([^ ]*\).*/\1/p' "$FLEET_DIR"/server-*.out | sort >"$FLEET_DIR/ran"
cat "$FLEET_DIR"/requests-* | awk -v longMs=$lossSlackMs '
    FNR == NR { ran[$1] = 1; next }
    { requests++; if ($5 == 200) served++; if ($5 == 503) refused++; if ($6 == "cut") cut++
      if ($5 == 502 || $5 == 504) unknown++ }
    $6 == "cut" && (ran[$1] || $4 - $3 >= longMs) { print "no answer, ran " ran[$1] + 0 ":", $0 }
    $5 == 503 && ran[$1] { print "ran although it was refused:", $0 }
    $5 == 404 || $5 == 401 { print "a proper request was denied:", $0 }
    END {
        if (served < requests / 2) print "only", served + 0, "of", requests + 0, "served"
        print requests + 0, "requests,", served + 0, "served,", refused + 0, "refused,", \
            unknown + 0, "may have run,", cut + 0, "cut" >"/dev/stderr"
    }' "$FLEET_DIR/ran" - >>"$FLEET_DIR/violations"
if [ -s "$FLEET_DIR/violations" ]; then
    kept=${SOAK_KEEP:-$(mktemp -d)}
    cp -r "$FLEET_DIR"/. "$kept"/
    echo "seed $seed: failed; logs in $kept" >&2
    head -20 "$FLEET_DIR/violations" >&2
    exit 1
fi
echo "seed $seed: passed"
