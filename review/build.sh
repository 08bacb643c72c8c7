#!/bin/sh
# Builds the stand-ins of the cases into review/build/, which is not part of the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/build
for case in review/[0-9]*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "review/build/case-$number" "$case"
done
