#!/usr/bin/env bash
# Runs a script of this folder and compares its output with its golden file.
# usage: compare.sh NAME BUILD_FOLDER
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
printed=$("$here/$1.sh" "$2")
diff -u "$here/$1.txt" <(printf '%s\n' "$printed")
