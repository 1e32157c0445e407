#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/4 to review/6 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/_standin2
