#!/usr/bin/env bash
# Installs missing packages: those that the build needs (deploy/system.toml) and those that only the
# tests, the linters and scripts/generate.sh need (scripts/packages.txt). Does not install
# recommended packages, since the hosts of a deployment do not have them.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/manifest.sh
mapfile -t packages < <(manifest_packages deploy/system.toml && cat scripts/packages.txt)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'ok installed' \
        || missing+=("$package")
done
sudo=
[ "$(id -u)" -eq 0 ] || sudo=sudo
# The package index is also needed by scripts/checkpackages.sh.
if [ "${#missing[@]}" -gt 0 ] || ! compgen -G '/var/lib/apt/lists/*_Packages*' >/dev/null; then
    $sudo apt-get update -q
fi
[ "${#missing[@]}" -eq 0 ] && exit 0
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends \
    "${missing[@]}"
