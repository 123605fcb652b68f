#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off GOPROXY=off go build -o ../../target/review-standin-2 .
