#!/usr/bin/env bash
# Restores the store from a copy some seconds old while a machine restarts. Exits with 1 if a tenant got more than its usage cap allows, 0 if not, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
export RECORD=review/8/record.txt TROUBLE=${TROUBLE:-1}
[ -x target/bin/wasabistaird ] && [ -x target/review/twokeepers ] || exit 2
timeout -k 5 120 target/review/twokeepers
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
