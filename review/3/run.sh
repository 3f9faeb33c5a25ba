#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/geraniumwickd ] && [ -x target/review/standins ] || { echo "build the project and review/build.sh first" >&2; exit 2; }
TROUBLE=${TROUBLE:-1} exec target/review/standins reborn review/3/record.txt
