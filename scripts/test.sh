#!/usr/bin/env bash
# Installs what is missing, builds, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
ulimit -n 8192 2>/dev/null || true
ctest --test-dir build --output-on-failure -j 6
