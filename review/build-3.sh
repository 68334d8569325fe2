#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 and the project's stand-ins that they use into target/review-3/.
# Runs after the build of deploy/system.toml; needs only the packages named there.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out/objects"
flags=(-std=c++20 -O1 -g -Wall -Wextra -Wno-restrict -I src/libs -I tests)
shared=(
    src/libs/base/clock.cpp
    tests/standins/childprocess.cpp tests/standins/fakeobjectstore.cpp tests/standins/httpserver.cpp tests/standins/ports.cpp
    tests/standins/scriptedupstream.cpp
    review/support-3/record.cpp review/support-3/smallfleet.cpp review/support-3/storefront.cpp
)
objects=()
for source in "${shared[@]}"; do
    object=$out/objects/$(basename "$source" .cpp).o
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
for job in $(jobs -p); do
    wait "$job"
done
for source in review/1[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/$(basename "$source" .cpp)" -lPocoNet -lPocoFoundation -lpthread
done
