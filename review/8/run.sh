#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption. Needs deploy/build and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] || exit 2
exec java -Xmx256m -cp target/review-2 Rejoined review/8/record.txt
