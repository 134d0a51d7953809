#!/usr/bin/env bash
# Guards against streams that go on at a server which has started again under its id at another
# software version, before the gateways can read its new entry.
# usage: serverrestartversion.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/../.."
FLEET_BUILD=$1
. tests/processes/deployment.sh

# stream_server N VERSION: starts server N at the version.
stream_server() {
    fleet_start "server-$1" "$FLEET_BUILD/tests/soak/streamserver" "$FLEET_IP" "1971$1" "i-$1" "$2" \
        "$1" 0 60 0
    SERVERS[$1]=$!
    fleet_until "server-$1" grep -qx ready "$FLEET_DIR/server-$1.out"
}

# read_stream GATEWAY N ID SECONDS CURL_ARGUMENT...: reads the stream for so long, and adds its events
# to the file of its name.
read_stream() {
    local gateway=$1 n=$2 id=$3 seconds=$4
    shift 4
    curl -sfN --max-time "$seconds" "http://$FLEET_IP:1972$gateway/stream/$n" \
        -H 'Host: cars.example' -H 'Deadline-Ms: 8000' -H "Attempt-Id: $id" \
        -H 'Authorization: Bearer key-1' -H 'Model: m' -H 'Token-Count: 700,40' \
        -H "Prefix-Hash: a$n:500,b$n:200" -d 'a question' "$@" >>"$FLEET_DIR/stream-$n" || true
}

SERVERS=()
fleet_standin store rowstorestandin $STORE
configure 4 '["key-1"]'
for n in 1 2; do
    stream_server "$n" v1
    server "$n" pool ready
done
for i in 1 2; do gateway_start "$i"; done
for i in 1 2; do fleet_until "gateway-$i" is_ready "$i"; done

READERS=()
for n in $(seq 1 24); do
    read_stream 1 "$n" "s-$n" 0.5 &
    READERS+=($!)
done
wait "${READERS[@]}"

# The server's new entry cannot be written, and is not read.
fault $STORE '{"mode":"down"}'
kill -KILL "${SERVERS[1]}"
wait "${SERVERS[1]}" 2>/dev/null || true
stream_server 1 v2
READERS=()
for n in $(seq 1 24); do
    last=$(awk '/^id: / { last = $2 } END { print last + 0 }' "$FLEET_DIR/stream-$n")
    [ "$last" -gt 0 ] || continue
    read_stream 2 "$n" "again-$n" 3 -H "Last-Event-Id: $last" -H "Resumes: s-$n" &
    READERS+=($!)
done
wait "${READERS[@]}"

mixed=0
for n in $(seq 1 24); do
    [ "$(awk '/^data: / { print $4 }' "$FLEET_DIR/stream-$n" | sort -u | wc -l)" -le 1 ] \
        || mixed=$((mixed + 1))
done
echo "${#READERS[@]} streams taken up, $mixed of two versions"
touch "$FLEET_DIR/body"
expect "streams of two versions" "$mixed" 0
