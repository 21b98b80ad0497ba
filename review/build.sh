#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand review/stand/*.go
