#!/usr/bin/env bash
# clang-format and clang-tidy over the whole tree, generated code left out.
# With --fix it formats in place. Needs a configured build/ for the compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find src tests tools platform -name '*.cpp' -o -name '*.h' | grep -v /generated/ | sort)
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
clang-format --dry-run -Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' \
    | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2> /dev/null
