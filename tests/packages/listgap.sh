#!/usr/bin/env bash
# Guards against a list of packages that builds only where more than the list is installed:
# scripts/checkpackages.sh refuses a list with a name taken out, or one that nothing uses, and a
# file of no package. files.txt has a file of each listed package that the build uses.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/manifest.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0 status=0

# check: checks $work/files against $work/manifest.
check() {
    status=0
    scripts/checkpackages.sh --files "$work/files" --manifest "$work/manifest" \
        >"$work/output" 2>&1 || status=$?
}

# expect NAME STATUS TEXT: the check ended with STATUS and printed TEXT.
expect() {
    local name=$1
    if [ "$status" -eq "$2" ] && grep -q -- "$3" "$work/output"; then
        echo "good: $name"
        return
    fi
    failures=$((failures + 1))
    echo "WRONG: $name: status $status, expected $2 and \"$3\""
    cat "$work/output"
}

cp tests/packages/files.txt "$work/files"
cp deploy/system.toml "$work/manifest"
check
expect "the list as it stands" 0 "0 failures"

# Every third name at a time, since one check takes seconds.
mapfile -t packages < <(manifest_packages deploy/system.toml)
for first in 0 1 2; do
    cp deploy/system.toml "$work/manifest"
    for ((i = first; i < ${#packages[@]}; i += 3)); do
        sed -i "s/\"${packages[i]}\"//; s/, ,/,/; s/\[, /[/; s/, \]/]/" "$work/manifest"
    done
    check
    for ((i = first; i < ${#packages[@]}; i += 3)); do
        # build-essential stands for the compiler that it brings.
        expect "without ${packages[i]}" 1 "^    ${packages[i]/#build-essential/g++-12}\b"
    done
done

sed 's/^packages = \[/&"jq", /' deploy/system.toml >"$work/manifest"
check
expect "a package that nothing uses" 1 "^    jq$"

cp deploy/system.toml "$work/manifest"
touch "$work/own.h"
echo "$work/own.h" >>"$work/files"
check
expect "a file of no package" 1 "^    $work/own.h$"

[ "$failures" -eq 0 ]
