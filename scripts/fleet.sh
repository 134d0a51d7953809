# Sourced by scripts that run real processes on this machine: starts the fleet of
# examples/quickstart, waits until each process is ready, and stops by id all that it started.

FLEET_BUILD=${FLEET_BUILD:-build}
# Settings and output of this run.
FLEET_DIR=$(mktemp -d)
# A loopback address of this run's own, so that two runs at once don't meet.
FLEET_IP=127.$((1 + ($$ >> 16) % 254)).$((($$ >> 8) & 255)).$(($$ & 255))
FLEET_PIDS=()
FLEET_STANDINS=0

fleet_fail() {
    echo "failed: $*" >&2
    tail -n 20 "$FLEET_DIR"/*.log >&2 || true
    exit 1
}

# fleet_until WHAT COMMAND...: runs the command until it succeeds, for 20 s at most.
fleet_until() {
    local what=$1 end=$((SECONDS + 20))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || fleet_fail "waited 20 s for $what"
        sleep 0.05
    done
}

# fleet_start NAME PROGRAM ARGUMENT...: starts it in the background; output in NAME.out (a
# router's spans), errors in NAME.log.
fleet_start() {
    local name=$1
    shift
    "$@" >>"$FLEET_DIR/$name.out" 2>>"$FLEET_DIR/$name.log" &
    FLEET_PIDS+=($!)
}

# fleet_standin NAME PROGRAM PORT ARGUMENT...: starts a stand-in and waits for its "ready".
fleet_standin() {
    local name=$1 program=$2 port=$3
    shift 3
    fleet_start "$name" "$FLEET_BUILD/tests/standins/$program" --address "$FLEET_IP:$port" "$@"
    fleet_until "$name" grep -qx ready "$FLEET_DIR/$name.out"
}

# fleet_is_ready ADDRESS COUNT: whether that router takes work and knows COUNT live routers.
fleet_is_ready() {
    curl -sf -o "$FLEET_DIR/readyz" "http://$1/readyz" \
        && [ "$(curl -sf "http://$1/v1/status" | jq .liveRouters)" = "$2" ]
}

# fleet_answers ADDRESS: whether that router knows the model servers, by a whole answer.
fleet_answers() {
    curl -sf -o "$FLEET_DIR/answers" "http://$1/v1/chat/completions" \
        -H 'Authorization: Bearer example-key-dealer' -H 'X-Lagoonmast-Class: buyer-replies' \
        -H 'Content-Type: application/json' \
        -d '{"model":"condition-writer","max_tokens":1,
             "messages":[{"role":"user","content":"Are you there?"}]}'
}

# fleet_up: the stand-ins and three routers of examples/quickstart.
fleet_up() {
    local file i
    for file in examples/quickstart/*.json; do
        sed "s/127\.0\.0\.1/$FLEET_IP/g" "$file" >"$FLEET_DIR/$(basename "$file")"
    done
    fleet_standin platform platformstandin 18700 --seed "$FLEET_DIR/seed.json"
    fleet_standin model-1 modelserverstandin 18731 --check-fences true
    fleet_standin model-2 modelserverstandin 18732 --check-fences true
    fleet_standin app-1 appserverstandin 18741 --name app-1 --check-fences true
    FLEET_STANDINS=${#FLEET_PIDS[@]}
    for i in 1 2 3; do
        fleet_start "entry-$i" "$FLEET_BUILD/src/app/lagoonmast" serve \
            --settings "$FLEET_DIR/entry-$i.json"
    done
    for i in 1 2 3; do
        fleet_until "entry-$i" fleet_is_ready "$FLEET_IP:1871$i" 3
        fleet_until "an answer of entry-$i" fleet_answers "$FLEET_IP:1871$i"
    done
}

# fleet_path REQUEST: the spans of a request, as the routers recorded them.
fleet_path() {
    cat "$FLEET_DIR"/entry-*.out | jq -rs --arg request "$1" '
        map(select(.tags.request == $request))
        | sort_by(if .name == "entry" then 0 else 1 end)
        | map(.name + "@" + .tags.place + (if .tags.failed then " (failed)" else "" end))
        | join(" > ")'
}

# fleet_terminate PID...: SIGTERM to each, and waits for all; fails if one did not exit with 0.
fleet_terminate() {
    local pid status=0
    for pid in "$@"; do
        kill "$pid" || status=1
    done
    for pid in "$@"; do
        wait "$pid" || status=1
    done
    return $status
}

# fleet_stop: ends the routers and then the stand-ins, which were started first.
fleet_stop() {
    local status=0
    fleet_terminate "${FLEET_PIDS[@]:FLEET_STANDINS}" || status=1
    fleet_terminate "${FLEET_PIDS[@]:0:FLEET_STANDINS}" || status=1
    FLEET_PIDS=()
    return $status
}

# fleet_cleanup: for a trap; ends by id what is still there and removes this run's files.
fleet_cleanup() {
    local pid
    for pid in "${FLEET_PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$FLEET_DIR"
}
