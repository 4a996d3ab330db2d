#!/bin/sh
# Plays the case, with TROUBLE=0 without the disruption. Exit code 1: the rule was broken, 0: it held, 2: the case could not be played.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case7 ] && [ -x target/figd ] || exit 2
TROUBLE="${TROUBLE:-1}" RECORD=review/7/record.txt exec target/review-2/case7
