#!/usr/bin/env bash
# Runs the measurements that docs/CAPACITY.md is based on and prints the fitted lines (least squares).
# Arguments: entry VMs per region, one number per fleet size; default 2 4 17 33 50. Takes about ten minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh default >/dev/null
export WASABISTAIR_BIN=$PWD/build/bin
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
build/bin/bench_fleet "${@:-2 4 17 33 50}" 2>/dev/null | tee "$out/fleet"
build/bin/bench_blocks 2>/dev/null | tee "$out/blocks"
build/bin/bench_mesh 2>/dev/null
fit() { # argument: label; reads "x y" lines from standard input
    awk -v label="$1" '{ n++; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
        END { if (n > 1) { b = (n * sxy - sx * sy) / (n * sxx - sx * sx); printf "slope: %s = %.4g + %.4g * x (%d sizes)\n", label, (sy - b * sx) / n, b, n } }'
}
# VMs per zone: the fleet has three regions with two zones each.
zone='{ split($0, w, " "); z = w[1] / 6 }'
number() { sed -n "s/^\([0-9]*\) processes: .*$1 \([0-9.]*\).*/\1 \2/p" "$out/fleet"; }
number "node bytes\/s median [0-9.]* max" | awk "$zone { print z, \$2 }" | fit "relay, node bytes/s against VMs of its zone"
number "node bytes\/s median" | fit "ordinary VM, node bytes/s against processes"
number "processor % median [0-9.]* max" | awk "$zone { print z, \$2 }" | fit "relay, processor % against VMs of its zone"
number "processor % median" | fit "ordinary VM, processor % against processes"
number "memory MB median [0-9.]* max" | fit "memory MB against processes"
sed -n 's/^\([0-9]*\) processes: in force.*calm \([0-9]*\).*/\1 \2/p' "$out/fleet" | fit "in force at the worst VM, ms, against processes"
sed -n 's/^\([0-9]*\) blocks: .*resident \([0-9.]*\) MB, highest.*/\1 \2/p' "$out/blocks" | fit "resident MB against blocks"
sed -n 's/^\([0-9]*\) blocks: .*changes \([0-9.]*\) MB, processor.*/\1 \2/p' "$out/blocks" | fit "highest MB during a change against blocks"
sed -n 's/^\([0-9]*\) blocks: .*processor \([0-9.]*\) ms.*/\1 \2/p' "$out/blocks" | fit "processor ms a change against blocks"
