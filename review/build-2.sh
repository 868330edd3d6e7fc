#!/usr/bin/env bash
# Builds the stand-ins of the second review, beside the programs that the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-2 ./review/rig2
