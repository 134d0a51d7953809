#!/usr/bin/env bash
# Runs session.sh and compares what it prints with session.txt.
# usage: compare.sh BUILD_FOLDER
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
printed=$("$here/session.sh" "$1")
diff -u "$here/session.txt" <(printf '%s\n' "$printed")
