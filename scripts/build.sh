#!/usr/bin/env bash
# Builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
launcher=$(command -v ccache || true)
cmake -G Ninja -S . -B build -DCMAKE_CXX_COMPILER_LAUNCHER="$launcher" > build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
ninja -C build
