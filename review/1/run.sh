#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, with 0
# if it held and with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pepperhatch ] && [ -x target/review-standin ] || exit 2
exec target/review-standin --record review/1/record.txt --trouble "${TROUBLE:-1}" silent-read
