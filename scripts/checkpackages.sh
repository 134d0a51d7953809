#!/usr/bin/env bash
# Fails if the build uses a system file that a machine with only the listed packages lacks, or if
# the list names a package that the build does not use. Needs no clean machine: the packages that
# the list installs are resolved from the package index, without recommended packages.
# usage: checkpackages.sh [--files FILE] [--manifest FILE] [--table]
#   --files FILE     system files that the build uses, one per line; default: the output of
#                    scripts/buildfiles.sh
#   --manifest FILE  file that lists the packages; default: deploy/system.toml
#   --table          also print each file with its package
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/manifest.sh

files= manifest=deploy/system.toml table=
options=$(getopt -n checkpackages -o '' -l files:,manifest:,table -- "$@") || exit 2
eval set -- "$options"
while [ "$1" != -- ]; do
    case $1 in
    --files) files=$2 && shift 2 ;;
    --manifest) manifest=$2 && shift 2 ;;
    --table) table=1 && shift ;;
    esac
done

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
if [ -z "$files" ]; then
    files=$work/files
    scripts/buildfiles.sh >"$files"
fi

# closure PACKAGE...: prints the packages that an installation of these on an empty machine adds.
closure() {
    apt-get -o Dir::State::status=/dev/null --no-install-recommends -s install "$@" \
        | sed -n 's/^Inst \([^ ]*\) .*/\1/p' | sort -u
}

# essential_packages: prints the packages that every machine has, including this one.
essential_packages() {
    dpkg-query -W -f '${Essential} ${Package}\n' | sed -n 's/^yes //p'
}

# merged: converts paths to those of a system with a merged /usr. dpkg may list them without /usr.
merged() {
    sed -E 's#^/(lib|lib64|bin|sbin)/#/usr/\1/#'
}

# with_links: prints each path and the paths that it links to.
with_links() {
    local path target
    while read -r path; do
        while printf '%s\n' "$path" && [ -L "$path" ]; do
            target=$(readlink "$path")
            [[ $target == /* ]] || target=$(dirname "$path")/$target
            path=$(realpath -s "$target")
        done
    done | merged | sort -u
}

# owners: prints a line "PACKAGE PATH" for each path that a package owns.
owners() {
    local paths
    mapfile -t paths
    { dpkg-query -S "${paths[@]}" "${paths[@]#/usr}" 2>/dev/null || true; } \
        | sed -nE 's#^([^:, ]+)(:[a-z0-9]+)?(, .*)?: (/.*)$#\1 \4#p' \
        | sed -E 's#^([^ ]+) /(lib|lib64|bin|sbin)/#\1 /usr/\2/#' | sort -u
}

failures=0
# report WHAT LINE...: prints and counts a failure if there are lines.
report() {
    local what=$1
    shift
    [ "$#" -gt 0 ] || return 0
    failures=$((failures + 1))
    echo "$what:"
    printf '    %s\n' "$@"
}

mapfile -t listed < <(manifest_packages "$manifest")
[ "${#listed[@]}" -gt 0 ] || { echo "checkpackages: $manifest lists no packages" >&2; exit 2; }
mapfile -t essential < <(essential_packages)
closure "${essential[@]}" build-essential >"$work/toolchain" || {
    echo "checkpackages: build-essential is not in the package index: run apt-get update" >&2
    exit 2
}
closure "${essential[@]}" "${listed[@]}" >"$work/available" || {
    echo "checkpackages: the packages of $manifest cannot be installed" >&2
    exit 1
}
with_links <"$files" >"$work/paths"
owners <"$work/paths" >"$work/owned"
cut -d' ' -f1 "$work/owned" | sort -u >"$work/used"

# A link of update-alternatives has no owner, but its target has one.
mapfile -t lines < <(cut -d' ' -f2 "$work/owned" | sort -u | comm -13 - "$work/paths" \
    | while read -r path; do [ -L "$path" ] || printf '%s\n' "$path"; done)
report "the build uses files that no package owns" "${lines[@]}"

mapfile -t lines < <(comm -23 "$work/used" "$work/available" | while read -r package; do
    echo "$package ($(sed -n "s#^$package ##p" "$work/owned" | head -1))"
done)
report "the build uses packages that $manifest does not install" "${lines[@]}"

# The packages of headers that the sources include, of modules that CMakeLists.txt requires and of
# programs that the build runs must be listed themselves: the dependencies of other packages may
# change.
mapfile -t folders < <(c++ -xc++ -E -v /dev/null 2>&1 \
    | sed -n '/search starts here/,/^End of search/s#^ \(/.*\)#\1#p' | xargs -n 1 realpath -s)
{
    git ls-files 'src/*.cpp' 'src/*.h' 'src/*.cc' 'platform/*.cpp' 'platform/*.h' \
        | xargs sed -nE 's/^#include <([^>]+)>.*/\1/p' | sort -u | while read -r header; do
            printf "%s/$header\n" "${folders[@]}"
        done
    command -v cmake ninja pkg-config
    sed -n 's/^pkg_check_modules([A-Z0-9]* REQUIRED IMPORTED_TARGET \(.*\))$/\1/p' CMakeLists.txt \
        | tr ' ' '\n' | xargs pkg-config --path
} | sort -u >"$work/direct"
mapfile -t lines < <(awk 'NR == FNR {direct[$1]; next} $2 in direct {print $1}' \
    "$work/direct" "$work/owned" | sort -u | comm -23 - "$work/toolchain" \
    | comm -23 - <(printf '%s\n' "${listed[@]}" | sort))
report "the build directly uses packages that $manifest does not list" "${lines[@]}"

# build-essential owns no files; it only depends on the toolchain.
mapfile -t lines < <(printf '%s\n' "${listed[@]}" | grep -vx build-essential | sort \
    | comm -23 - "$work/used")
report "$manifest lists packages that the build does not use" "${lines[@]}"

[ -z "$table" ] || sort -k2 "$work/owned"
echo "checkpackages: $(wc -l <"$files") files of $(wc -l <"$work/used") packages," \
    "$(wc -l <"$work/available") packages available, $failures failures"
[ "$failures" -eq 0 ]
