#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Run after the build of the deploy file.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/build/review-2
mkdir -p "$out"
for number in 6 7 8 9 10; do
    [ -f "$root/review/$number/stand_in.cpp" ] || continue
    ${CXX:-g++} -std=c++20 -O1 -pthread -DREVIEW_ROOT="\"$root\"" -o "$out/case-$number" \
        "$root/review/$number/stand_in.cpp" &
    pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
