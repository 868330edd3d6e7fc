#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-rig3 ./review/rig3
