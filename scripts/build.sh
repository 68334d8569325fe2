#!/usr/bin/env bash
# Installs missing packages and builds all targets. Argument: a CMake preset; "default" builds into build/, any
# other into build-PRESET/.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-default}
scripts/install-deps.sh
cmake --preset "$preset" >/dev/null
directory=build
[ "$preset" = default ] || directory=build-$preset
cmake --build "$directory"
