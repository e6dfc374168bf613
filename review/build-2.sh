#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/stage"
GOWORK=off GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-stage .
