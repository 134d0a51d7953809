# Sourced by the scripts that run gateways, after FLEET_BUILD is set: a row store, three backend
# servers and two gateways on a loopback address of this run's own. No check depends on how long
# anything takes.
. scripts/fleet.sh
trap fleet_cleanup EXIT

STORE=19700
GATEWAYS=()

# put TABLE KEY JSON: writes a row as an operator or a server does; null removes it.
put() {
    curl -sf -o "$FLEET_DIR/put" "http://$FLEET_IP:$STORE/put" \
        -d '{"table":"'"$1"'","part":"","key":"'"$2"'","value":'"$3"'}' \
        || fleet_fail "the row was not written: $1 $2"
}

# fault PORT JSON: sets the fault of a stand-in.
fault() {
    curl -sf -o "$FLEET_DIR/fault" "http://$FLEET_IP:$1/faults" -d "$2" \
        || fleet_fail "the fault was not set: $*"
}

# route NAME KIND SERVICE EXTRA: prints a route of the configuration, with the prefix /NAME/.
route() {
    echo '{"name":"'"$1"'","host":"cars.example","prefix":"/'"$1"'/","routeKind":"'"$2"'",
        "service":"'"$3"'","timeoutMs":6000,"targetLatencyMs":500,"gapTargetMs":400,
        "maxAttempts":3,"priority":1,"anonymous":false'"$4${ROUTE_EXTRA:-}"'}'
}

# configure VERSION KEYS: writes the configuration. KEYS is a JSON list, the keys of the only
# customer besides those of MORE_TENANTS.
configure() {
    put op config '{"version":'"$1"',"routeTable":['"$(route stream streaming pool \
        ',"streamResume":true')"','"$(route once unsafe app '')"','"$(route read safe app '')"'],
        "services":[{"name":"pool","maxConnections":'"${MAX_CONNECTIONS:-64}"',"engine":{"slots":'"${SLOTS:-8}"',"kvCapacity":100000}},
            {"name":"app","maxConnections":'"${MAX_CONNECTIONS:-64}"'}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":'"${MAX_BODY_BYTES:-65536}"',"headerTimeoutMs":3000,
            "idleTimeoutMs":'"${IDLE_TIMEOUT_MS:-15000}"',"tokensPerS":'"${TOKENS_PER_S:-100000}"'},
        "tenants":[{"name":"dealer","apiKeys":'"$2"',"priority":1}'"${MORE_TENANTS:-}"']}'
}

# server N SERVICE STATE: writes the entry of backend server N, with the software version VERSION,
# in the availability zone ZONE.
server() {
    put servers "i-$1" '{"service":"'"$2"'","address":"'"$FLEET_IP"':1971'"$1"'","zone":"'"${ZONE:-z}"'",
        "version":"'"${VERSION:-v1}"'","slots":'"${SLOTS:-8}"',"state":"'"$3"'","sequence":1,"coldRemainingMs":0,
        "born":1764700000000}'
}

# gateway_start N: starts gateway N with settings of its own, and with those of MORE_SETTINGS.
gateway_start() {
    cat >"$FLEET_DIR/gateway-$1.json" <<EOF
{${MORE_SETTINGS:-} "host":"gateway-$1","zone":"z","region":"r","callerAddress":"$FLEET_IP:1972$1",
 "readinessAddress":"$FLEET_IP:1973$1","discoveryAddress":"$FLEET_IP:1974$1",
 "peerAddress":"$FLEET_IP:1975$1","metricsAddress":"$FLEET_IP:1976$1",
 "log":{"requestLinesPerSecond":${LOG_LINES:-150}},"storeAddress":"$FLEET_IP:$STORE",
 "bounds":{"shutdownGraceS":8,"keyRevocationMs":${REVOCATION_MS:-3000},"retryRatio":0.2,"retrySlack":50,
           "retryWindowS":10}}
EOF
    fleet_start "gateway-$1" "$FLEET_BUILD/src/app/lagoonmast" serve \
        --settings "$FLEET_DIR/gateway-$1.json"
    GATEWAYS[$1]=$!
}

# is_ready N: whether gateway N is ready.
is_ready() {
    curl -sf -o "$FLEET_DIR/ready" "http://$FLEET_IP:1973$1/-/readyz"
}

# lists_gateways N COUNT: whether gateway N returns COUNT gateways to callers.
lists_gateways() {
    [ "$(curl -sf "http://$FLEET_IP:1974$1/-/resolve?name=cars.example&region=r&zone=z" \
        | jq '.addresses | length')" = "$2" ]
}

# call N PATH CURL_ARGUMENT...: sends a request to gateway N. Prints the status and writes the body
# to $FLEET_DIR/body.
call() {
    local gateway=$1 path=$2
    shift 2
    curl -s --max-time 15 -o "$FLEET_DIR/body" -D "$FLEET_DIR/head" -w '%{http_code}' \
        "http://$FLEET_IP:1972$gateway$path" -H 'Host: cars.example' -H 'Deadline-Ms: 8000' \
        -H "Attempt-Id: a$RANDOM$RANDOM" -H "Authorization: Bearer ${KEY:-key-1}" "$@" || true
}

# expect WHAT ACTUAL EXPECTED: fails unless both values are equal.
expect() {
    [ "$2" = "$3" ] || fleet_fail "$1: $2, expected $3; $(cat "$FLEET_DIR/body")"
}

# served N PATH: whether a request for PATH is served.
served() {
    [ "$(call "$1" "$2")" = 200 ]
}

# answers N PATH STATUS: whether a request for PATH is answered with STATUS.
answers() {
    [ "$(call "$1" "$2")" = "$3" ]
}

prompt=(-X POST -H 'Model: m' -H 'Token-Count: 700,40' -H 'Prefix-Hash: ab:500,cd:200'
    -d 'a question')

# met PORT: prints how many requests have met the fault of the server at PORT.
met() {
    curl -sf "http://$FLEET_IP:$1/faults" | jq .met
}

# stream N: sends prompt N to gateway 1. No two prompts begin alike, so all servers are chosen.
stream() {
    call 1 "/stream/$1" -X POST -H 'Model: m' -H 'Token-Count: 700,40' \
        -H "Prefix-Hash: a$1:500,b$1:200" -d 'a question'
}

# runs_of PATH: prints how often the servers began to run a request for PATH.
runs_of() {
    local port
    for port in 19711 19712 19713; do
        curl -sf "http://$FLEET_IP:$port/journal"
    done | jq -s --arg path "$1" '[.[].requests[] | select(.path == $path)] | length'
}

# is_whole_stream COUNT PATH: whether the body consists of COUNT events, each once and in order.
is_whole_stream() {
    local expected
    expected=$(for i in $(seq 1 "$1"); do printf 'id: %s\ndata: %s %s\n\n' "$i" "$2" "$i"; done)
    [ "$(cat "$FLEET_DIR/body")" = "$expected" ]
}

# deployment_up: starts the store, the servers and the gateways, and waits until they are ready.
deployment_up() {
    fleet_standin store rowstorestandin $STORE
    fleet_standin server-1 deployedserverstandin 19711 --id i-1 --work-ms 20
    fleet_standin server-2 deployedserverstandin 19712 --id i-2 --work-ms 20
    fleet_standin server-3 deployedserverstandin 19713 --id i-3
    FLEET_STANDINS=${#FLEET_PIDS[@]}
    configure 4 '["key-1","key-2"]'
    server 1 pool ready
    server 2 pool ready
    server 3 app ready
    gateway_start 1
    gateway_start 2
    for i in 1 2; do
        fleet_until "gateway-$i" is_ready "$i"
        fleet_until "both gateways at $i" lists_gateways "$i" 2
    done
}

# try GATEWAY N ID CURL_ARGUMENT...: sends a try of stream N with the id. Prints the status.
try() {
    local gateway=$1 n=$2 id=$3
    shift 3
    curl -s --max-time 15 -o "$FLEET_DIR/body" -w '%{http_code}' \
        "http://$FLEET_IP:1972$gateway/stream/$n" -H 'Host: cars.example' -H 'Deadline-Ms: 8000' \
        -H "Attempt-Id: $id" -H 'Authorization: Bearer key-1' -H 'Model: m' \
        -H 'Token-Count: 700,40' -H "Prefix-Hash: a$n:500,b$n:200" -d 'a question' "$@" || true
}

# journals PORT...: prints the paths of the requests that the servers ran.
journals() {
    local port
    for port in "$@"; do
        curl -sf "http://$FLEET_IP:$port/journal" | jq -r '.requests[].path'
    done | sort -u
}

# mixed: prints how many streams have run at servers of both versions.
mixed() {
    comm -12 <(journals 19711 19712) <(journals 19714 19715) | wc -l
}

# resumed GATEWAY N: whether the gateway goes on with stream N after its third event.
resumed() {
    [ "$(try "$1" "$2" "again-$RANDOM$RANDOM" -H 'Last-Event-Id: 3' -H "Resumes: s-$2")" = 200 ]
}

# knows N CHANGE COUNT: whether gateway N has logged a change (found, leaving, gone) of COUNT
# servers since its start.
knows() {
    [ "$(grep -c '"server.'"$2"'"' "$FLEET_DIR/gateway-$1.out")" = "$3" ]
}
