#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/shortsilence
[ -x target/bin/wasabistaird ] && [ -x "$program" ] || { echo "build the deploy file's program and run review/build.sh first" >&2; exit 2; }
timeout -k 2 110 "$program" "review/5/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
