#!/usr/bin/env bash
# Formatter and linter, both without findings. --fix applies the formatter first.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh
mapfile -t files < <(git ls-files '*.cpp' '*.h')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
fi
clang-format --dry-run -Werror "${files[@]}"
[ -f build/compile_commands.json ] || cmake --preset default >/dev/null
mapfile -t sources < <(git ls-files '*.cpp')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
echo "style: no findings in ${#files[@]} files"
