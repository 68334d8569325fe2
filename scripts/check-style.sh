#!/usr/bin/env bash
# Fails if clang-format or clang-tidy reports a finding. --fix formats the sources first.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh
mapfile -t files < <(git ls-files '*.cpp' '*.h')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
fi
# Only platform/ may use the wire names of the users' platform; the stand-ins in tests/ use them as well.
wire_names='X-(Request-Id|Tenant|Affinity-Key|Deadline-Ms|Target-Instance|Server-Seal|Not-Executed|Server-Load)|"Server-Limit|"Server-Leaving|cold-left-ms|cold-per-s|traffic-split|path-prefix|home-regions|ready-addr|"/resolve|"/objects/|"evacuations"|"tenants"|api-keys|rate-per-s|WASABISTAIR_SETTINGS'
if grep -rnE "$wire_names" src; then
    echo "style: wire names of the platform outside platform/" >&2
    exit 1
fi
clang-format --dry-run -Werror "${files[@]}"
[ -f build/compile_commands.json ] || cmake --preset default >/dev/null
mapfile -t sources < <(git ls-files '*.cpp')
printf '%s\n' "${sources[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p build --quiet 2>/dev/null
echo "style: no findings in ${#files[@]} files"
