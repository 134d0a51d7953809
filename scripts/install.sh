#!/usr/bin/env bash
# Installs what the build, the tests and the linters need, where it is not there yet.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
mapfile -t packages < "$here/packages.txt"
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' \
        || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0
sudo=
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q "${missing[@]}"
