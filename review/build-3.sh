#!/bin/sh
# Builds the stand-ins of the cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/lab-3
GOWORK=off go build -buildvcs=false -o ../../target/lab-3 .
