#!/usr/bin/env bash
# Checks that the tests detect a missing safeguard: in a copy of the tree it removes one guard at a time
# (tests/unguarded/*.patch) and expects the test that covers it to fail. Arguments: names of patches without
# ".patch"; all patches if none is given.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=build-unguarded/tree
rm -rf "$copy"
mkdir -p "$copy"
git ls-files -co --exclude-standard | tar cf - -T - | tar xmf - -C "$copy"
cmake -G Ninja -S "$copy" -B build-unguarded/build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
export WASABISTAIR_BIN=$PWD/build-unguarded/build/bin RC_PARAMS="seed=20261204 max_success=300"
jobs=${JOBS:-$(nproc)}
failures=0
for patch in tests/unguarded/*.patch; do
    name=$(basename "$patch" .patch)
    if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
    target=$(sed -n 's/^Test: //p' "$patch")
    filter=$(sed -n 's/^Case: //p' "$patch")
    if ! patch -s -p1 -d "$copy" --dry-run <"$patch" >/dev/null; then
        echo "$name: PATCH DOES NOT APPLY, renew it"
        failures=$((failures + 1))
        continue
    fi
    patch -s -p1 -d "$copy" <"$patch"
    cmake --build build-unguarded/build -j "$jobs" --target "$target" wasabistaird >/dev/null
    if timeout 300 "$WASABISTAIR_BIN/$target" -tc="$filter" >build-unguarded/"$name.log" 2>&1; then
        echo "$name: NOT NOTICED by $target $filter"
        failures=$((failures + 1))
    else
        echo "$name: noticed by $target ($(grep -c 'ERROR' build-unguarded/"$name.log" || true) failed checks)"
    fi
    patch -s -R -p1 -d "$copy" <"$patch"
done
exit $((failures > 0))
