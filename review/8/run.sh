#!/usr/bin/env bash
# Case 8, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 does the same without the disruption.
set -u
cd "$(dirname "$0")/../.."
gateway=target/src/app/lagoonmast
judge=target/review-2/case8
for program in "$gateway" "$judge"; do
    [ -x "$program" ] || { echo "$program is missing"; exit 2; }
done
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$judge" "$gateway" "$folder" review/8/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
