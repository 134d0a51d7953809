#!/usr/bin/env bash
# Checks src, tests, tools and platform with clang-format and clang-tidy, except generated code.
# With --fix it only formats the files in place. clang-tidy needs the compile commands of a
# configured build/.
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
