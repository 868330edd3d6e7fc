#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs Go's standard library only. Run it after the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-rig ./review/rig
