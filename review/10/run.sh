#!/usr/bin/env bash
# Writes one entry that was cut short, then kills and starts all machines. Exits with 1 if nothing is served afterwards, 0 if it is, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
export RECORD=review/10/record.txt TROUBLE=${TROUBLE:-1}
[ -x target/bin/wasabistaird ] && [ -x target/review/cutentry ] || exit 2
timeout -k 5 120 target/review/cutentry
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
