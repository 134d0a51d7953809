#!/usr/bin/env bash
# Guards against requests that end without an answer when a gateway is told to stop while its callers
# go on sending until it is gone.
# usage: shutdownunderload.sh BUILD_FOLDER [WORK_MS] [SLOW_MS] [BODY_BYTES]
# The servers take WORK_MS. With SLOW_MS, they take so much longer from the signal on. Requests that
# may not be repeated have bodies of BODY_BYTES.
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
work_ms=${2:-60}
slow_ms=${3:-0}
body_bytes=${4:-1}
. tests/processes/deployment.sh

app_servers=(3 4 5)
fleet_standin store rowstorestandin $STORE
for i in "${app_servers[@]}"; do
    fleet_standin "server-$i" deployedserverstandin "1971$i" --id "i-$i" \
        --work-ms "$((work_ms / 2 + i * work_ms / 4))" --print-runs true
done
FLEET_STANDINS=${#FLEET_PIDS[@]}
LOG_LINES=2000
configure 4 '["key-1"]'
for i in "${app_servers[@]}"; do server "$i" app ready; done
for i in 1 2; do gateway_start "$i"; done
for i in 1 2; do
    fleet_until "gateway-$i" is_ready "$i"
    fleet_until "both gateways at $i" lists_gateways "$i" 2
done

callers=24
"$FLEET_BUILD/tests/soak/stayingcaller" "$FLEET_IP" 19721 "${SEED:-1}" "$callers" once "$body_bytes" \
    >"$FLEET_DIR/requests" &
caller=$!
FLEET_PIDS+=("$caller")
enough() { [ "$(wc -l <"$FLEET_DIR/requests")" -ge 200 ]; }
fleet_until "requests" enough
signalled=$(date +%s%3N)
kill "${GATEWAYS[1]}"
if [ "$slow_ms" -gt 0 ]; then
    for i in "${app_servers[@]}"; do fault "1971$i" '{"mode":"slow","delayMs":'"$slow_ms"'}'; done
fi
status=0
wait "${GATEWAYS[1]}" || status=$?
wait "$caller"
ended=$(date +%s%3N)

# Only requests that were passed on, or that had waited for long, count as lost: others may have
# crossed the end of the connection.
sed -n 's/^run \([^ ]*\).*/\1/p' "$FLEET_DIR"/server-*.out | sort >"$FLEET_DIR/ran"
awk -v from="$signalled" -v ended="$ended" -v longMs=500 '
    FNR == NR { ran[$1] = 1; next }
    $4 < from { next }
    { requests++; at = $3 - from; if ($5 == 503) refused++; if ($5 == 502 || $5 == 504) unknown++
      if ($5 == 200) { served++; if (at > lastServed) lastServed = at } }
    $5 == 503 && ran[$1] { print "refused, but ran:", $0 >"/dev/stderr"; bad++ }
    $6 == "cut" && (ran[$1] || $4 - $3 >= longMs) {
        lost++
        print "lost, sent " at " ms after the signal, ended " $4 - from ", ran " ran[$1] + 0 \
            >"/dev/stderr"
    }
    $6 == "cut" { cut++ }
    END {
        print requests + 0, "requests after the signal:", served + 0, "served, the last sent after", \
            lastServed + 0, "ms;", refused + 0, "refused,", unknown + 0, "may have run,", cut + 0, \
            "cut,", lost + 0, "of them lost,", bad + 0, "refused that ran; ended after", \
            ended - from, "ms"
        exit lost + bad > 0
    }' "$FLEET_DIR/ran" "$FLEET_DIR/requests" || fleet_fail "requests were lost"
[ "$status" = 0 ] || fleet_fail "exit status $status"
FLEET_PIDS=("${FLEET_PIDS[@]:0:FLEET_STANDINS}" "${GATEWAYS[2]}")
fleet_stop || fleet_fail "a process did not exit with 0"
