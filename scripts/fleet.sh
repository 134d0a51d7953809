# Sourced by scripts that run real processes on this machine. Starts the fleet of
# examples/quickstart, waits until each process is ready, and stops the started processes by their
# ids.

FLEET_BUILD=${FLEET_BUILD:-build}
# Folder of the settings and the output of this run.
FLEET_DIR=$(mktemp -d)
# Each run has its own loopback address, so that concurrent runs do not share ports.
FLEET_IP=127.$((1 + ($$ >> 16) % 254)).$((($$ >> 8) & 255)).$(($$ & 255))
# Process ids in the order of their start; the first FLEET_STANDINS ones are stand-ins.
FLEET_PIDS=()
FLEET_STANDINS=0

# fleet_fail TEXT...: prints the text and the ends of the logs, and exits with 1.
fleet_fail() {
    echo "failed: $*" >&2
    tail -n 20 "$FLEET_DIR"/*.log >&2 || true
    exit 1
}

# fleet_until WHAT COMMAND...: repeats the command until it succeeds; fails after 20 s.
fleet_until() {
    local what=$1 end=$((SECONDS + 20))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || fleet_fail "waited 20 s for $what"
        sleep 0.05
    done
}

# fleet_start NAME PROGRAM ARGUMENT...: starts the program in the background. Its output, such as
# the spans of a router, goes to NAME.out and its errors to NAME.log.
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

# fleet_is_ready ADDRESS COUNT: whether the router is ready and knows COUNT live routers.
fleet_is_ready() {
    curl -sf -o "$FLEET_DIR/readyz" "http://$1/readyz" \
        && [ "$(curl -sf "http://$1/v1/status" | jq .liveRouters)" = "$2" ]
}

# fleet_answers ADDRESS: whether the router knows the model servers and answers a request.
fleet_answers() {
    curl -sf --max-time 15 -o "$FLEET_DIR/answers" "http://$1/v1/chat/completions" \
        -H 'Authorization: Bearer example-key-dealer' -H 'X-Lagoonmast-Class: buyer-replies' \
        -H 'Content-Type: application/json' \
        -d '{"model":"condition-writer","max_tokens":1,
             "messages":[{"role":"user","content":"Are you there?"}]}'
}

# fleet_up: starts the stand-ins and the three routers of examples/quickstart, with FLEET_LIMITS as
# their limits if it is set, and waits until they answer.
fleet_up() {
    local file i
    for file in examples/quickstart/*.json; do
        sed "s/127\.0\.0\.1/$FLEET_IP/g" "$file" >"$FLEET_DIR/$(basename "$file")"
        [ -z "${FLEET_LIMITS:-}" ] \
            || sed -i "s/\"log\":/\"limits\": {$FLEET_LIMITS}, \"log\":/" "$FLEET_DIR/$(basename "$file")"
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

# fleet_path REQUEST: prints the spans of a request as the routers recorded them.
fleet_path() {
    cat "$FLEET_DIR"/entry-*.out | jq -rs --arg request "$1" '
        map(select(.tags.request == $request))
        | sort_by(if .name == "entry" then 0 else 1 end)
        | map(.name + "@" + .tags.place + (if .tags.failed then " (failed)" else "" end))
        | join(" > ")'
}

# fleet_terminate PID...: sends SIGTERM to each process and waits for all; fails if one does not
# exit with 0.
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

# fleet_stop: stops the routers and then the stand-ins.
fleet_stop() {
    local status=0
    fleet_terminate "${FLEET_PIDS[@]:FLEET_STANDINS}" || status=1
    fleet_terminate "${FLEET_PIDS[@]:0:FLEET_STANDINS}" || status=1
    FLEET_PIDS=()
    return $status
}

# fleet_cleanup: kills the processes that still run, by their ids, and removes this run's files.
# Meant for a trap.
fleet_cleanup() {
    local pid
    for pid in "${FLEET_PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    rm -rf "$FLEET_DIR"
}
