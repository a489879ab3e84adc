#!/bin/sh
# An invalid configuration: exit code 1 if CONFIG was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0: a valid configuration in its place.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/release/tulipridge-proxy ] || exit 2
RECORD=review/6/record.txt exec timeout 110 target/review-2/cases unknown-service
