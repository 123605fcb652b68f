#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
go build -o ../../target/standin-3 .
