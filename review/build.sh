#!/usr/bin/env bash
# Builds the stand-ins of the scripts, which need nothing but the standard library. The project itself is built by the
# command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/standins .
