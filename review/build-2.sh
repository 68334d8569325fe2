#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review, with the packages of deploy/system.toml. Run the build line of the deploy file first:
# it builds the program that the scripts start.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Isrc/libs -Itests)
libraries=(-lPocoNet -lPocoFoundation -lpthread)
sources=(review/harness/harness.cpp tests/standins/fakeobjectstore.cpp tests/standins/httpserver.cpp tests/standins/platformobjects.cpp
    tests/standins/ports.cpp tests/standins/scriptedupstream.cpp src/libs/base/clock.cpp)
objects=()
for source in "${sources[@]}"; do
    object=$out/$(basename "$source" .cpp).o
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
for job in $(jobs -p); do
    wait "$job"
done
for source in review/[6-9]/*.cpp review/10/*.cpp; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/$(basename "$source" .cpp)" "${libraries[@]}" &
done
for job in $(jobs -p); do
    wait "$job"
done
