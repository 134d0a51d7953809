#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# disruption does not come. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/src/app/lagoonmast ] && [ -x target/review/repeatedrefusal ] || exit 2
exec target/review/repeatedrefusal review/1/record.txt
