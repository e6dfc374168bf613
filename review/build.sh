#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o bin/probe ./probe
