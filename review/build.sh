#!/bin/sh
# Builds the stand-ins of the scripts. The program itself comes from the build line of the deploy
# file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
