#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
case=$root/build/review-2/case-$(basename "$folder")
[ -x "$case" ] || { echo "not built: run review/build-2.sh" >"$folder/record.txt"; exit 2; }
timeout -k 5 110 "$case" "$root" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
