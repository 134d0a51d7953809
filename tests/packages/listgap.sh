#!/usr/bin/env bash
# Guards against a list of packages that suffices only on machines with further packages installed.
# scripts/checkpackages.sh must reject a list that lacks a package, a list with an unused package,
# and a used file that no package owns. files.txt has a file of each listed package that the build
# uses, with @multiarch@ for the machine's folder of libraries.
set -euo pipefail
cd "$(dirname "$0")/../.."
. scripts/manifest.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failures=0 status=0

# check: runs checkpackages.sh on $work/files and $work/manifest; sets status.
check() {
    status=0
    scripts/checkpackages.sh --files "$work/files" --manifest "$work/manifest" \
        >"$work/output" 2>&1 || status=$?
}

# expect NAME STATUS TEXT: records a failure unless the check exited with STATUS and printed TEXT.
expect() {
    local name=$1
    if [ "$status" -eq "$2" ] && grep -q -- "$3" "$work/output"; then
        echo "passed: $name"
        return
    fi
    failures=$((failures + 1))
    echo "FAILED: $name: status $status, expected $2 and \"$3\""
    cat "$work/output"
}

sed "s#@multiarch@#$(gcc -print-multiarch)#" tests/packages/files.txt >"$work/files"
cp deploy/system.toml "$work/manifest"
check
expect "the current list" 0 "0 failures"

# Each check removes every third name, since one check takes seconds.
mapfile -t packages < <(manifest_packages deploy/system.toml)
for first in 0 1 2; do
    cp deploy/system.toml "$work/manifest"
    for ((i = first; i < ${#packages[@]}; i += 3)); do
        sed -i "s/\"${packages[i]}\"//; s/, ,/,/; s/\[, /[/; s/, \]/]/" "$work/manifest"
    done
    check
    for ((i = first; i < ${#packages[@]}; i += 3)); do
        # build-essential owns no files; its compiler stands for it.
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
