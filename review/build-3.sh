#!/bin/sh
# Builds the stand-ins of the cases 11 to 14. Needs a C++20 compiler only.
set -eu
cd "$(dirname "$0")"
for case in 11 12 13 14; do
    mkdir -p "$case/build"
    ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread "$case/stand_in.cpp" -o "$case/build/stand_in"
done
