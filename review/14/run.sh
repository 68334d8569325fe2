#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/twopages ] && [ -x target/bin/wasabistaird ] || exit 2
export WASABISTAIR_BIN=target/bin
exec target/review-3/twopages review/14/record.txt
