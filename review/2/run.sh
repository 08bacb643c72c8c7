#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x build/lockgw ] || [ ! -x review/build/case-2 ]; then
    echo "not built: see the deploy file and review/build.sh"
    exit 2
fi
exec review/build/case-2 review/2
