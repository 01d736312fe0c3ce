#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. It
# needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/case.cpp; do
  number="$(basename "$(dirname "$source")")"
  "${CXX:-g++}" -std=c++17 -O1 -pthread -Wall -Wextra "$source" \
    -o "target/review/case-$number"
done
