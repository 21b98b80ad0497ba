#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 13 start.
set -eu
cd "$(dirname "$0")/stand-3"
GOWORK=off go build -o ../../target/review-3/stand-3 .
