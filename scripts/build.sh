#!/usr/bin/env bash
# Installs what is missing and builds everything into build/ (or the given preset's directory).
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-default}
scripts/install-deps.sh
cmake --preset "$preset" >/dev/null
directory=build
[ "$preset" = default ] || directory=build-$preset
cmake --build "$directory"
