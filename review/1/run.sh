#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. What was sent, answered and run is written to review/1/record.txt.
cd "$(dirname "$0")/../.." || exit 2
record=review/1/record.txt
: > "$record" || exit 2
if [ ! -x build/lockgw ] || [ ! -x review/build/case-1 ]; then
    echo "not built: see the deploy file and review/build.sh" | tee "$record"
    exit 2
fi
exec review/build/case-1 "$record"
