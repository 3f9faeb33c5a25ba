#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/geraniumwickd ] && [ -x target/review-2/standins2 ] || exit 2
exec env TROUBLE="${TROUBLE:-1}" target/review-2/standins2 -case withdrawn -dir review/9
