#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, into target/review-2. It needs no network.
cd "$(dirname "$0")/standins-2" || exit 2
GOWORK=off go build -o ../../target/review-2/standins2 .
