#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they use, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Isrc/libs -Itests)
shared=(review/common/*.cpp tests/standins/{scriptedupstream,httpserver,ports}.cpp)
objects=()
for source in "${shared[@]}"; do
    object=$out/$(basename "$source" .cpp).o
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
for source in review/[1-5]/*.cpp; do
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/$(basename "$source" .cpp)" -lPocoNet -lPocoFoundation -pthread &
done
for job in $(jobs -p); do wait "$job"; done
