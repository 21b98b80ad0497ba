#!/usr/bin/env bash
# Builds the program as the deploy file does, and the stand-ins of the cases review/6 to
# review/10: review/stand-2 and the project's own platform/standin, which it contains.
set -eu
cd "$(dirname "$0")/.."
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
go build -o target/stand-2 ./review/stand-2/*.go
