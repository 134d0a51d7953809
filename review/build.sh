#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder into target/review, beside the program that the
# deploy file's build leaves in target/. Needs only packages that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
    c++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review/$(basename "$source" .cpp)"
done
