#!/usr/bin/env bash
# Runs each scenario (day) of deploy/days on the bench program FLEETBENCH, at the given sites.
# Prints the result line of each scenario and the rules that it violated. Exits with 1 if any rule
# was violated.
# usage: days.sh FLEETBENCH SITE...
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
shift
status=0
for site in "$@"; do
    for day in deploy/days/*.toml; do
        result=$("$bench" run "$site" "$day" --why "days of our own" 2>&1) || true
        printf '%s %s\n' "$(basename "$site" .toml)" \
            "$(grep -aE '^[a-z-]+ +[0-9]+/[0-9]+' <<<"$result" | head -1 | cut -c1-150)"
        if grep -aE '^rules broken|^[A-Z]+ at ' <<<"$result" | cut -c1-300; then
            status=1
        fi
    done
done
exit $status
