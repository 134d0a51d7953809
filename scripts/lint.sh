#!/usr/bin/env bash
# Checks src, tests, tools and platform with clang-format and clang-tidy, except generated code.
# With --fix it only formats the files in place. clang-tidy needs the compile commands of a
# configured build/. Also checks that bytes from outside are parsed in src/libs/untrusted only.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find src tests tools platform -name '*.cpp' -o -name '*.h' | grep -v /generated/ | sort)
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
# Whoever parses elsewhere has no limits on levels and lengths. Other names of the library's types
# would hide a call.
parsers='[Jj]son::(parse|accept)\b|\bsax_parse\b|\bfrom_(cbor|msgpack|bson|ubjson|bjdata)\b|"_json\b'
aliases='\bbasic_json\b|using [A-Za-z]+ = nlohmann::'
if grep -rnE --include='*.cpp' --include='*.h' "$parsers|$aliases|>> *[jJ]son\b" src platform \
    | grep -vE '^src/libs/untrusted/|using (Json|OrderedJson) = nlohmann::(json|ordered_json);'; then
    echo "these lines parse JSON or CBOR outside src/libs/untrusted" >&2
    exit 1
fi
clang-format --dry-run -Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' \
    | xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet 2> /dev/null
