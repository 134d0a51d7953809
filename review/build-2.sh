#!/usr/bin/env bash
# Builds the stand-ins and judges of the cases 4 to 8 into target/review-2. They need a C++ compiler
# and nlohmann-json3-dev, both of which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
for source in review/standin-2/case*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$(basename "$source" .cpp)" "$source"
done
