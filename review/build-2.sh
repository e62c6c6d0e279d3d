#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 8 start besides the program itself: one program with all
# stand-ins. Run it from the repository's root; it needs no network if the module cache is there.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS=-mod=readonly go build -o target/review-rig-2 review/cmd/rig2/*.go
