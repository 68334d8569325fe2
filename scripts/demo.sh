#!/usr/bin/env bash
# Demonstrates the system on loopback: starts stand-ins of platform and upstreams and three entry VMs, publishes
# declarations, sends requests of each kind, runs a capped shift, a planned stop and the drain of an entry VM,
# and prints the results. Ends all processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh default
bin=build/bin
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]:-}"; do kill -9 "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap cleanup EXIT
fail() { echo "demo: FAILED: $*" >&2; exit 1; }
wait_for() { # arguments: timeout in seconds, command…
    local limit=$1; shift
    for _ in $(seq $((limit * 10))); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
    fail "not within $limit s: $*"
}
field() { sed -n "s/.* $1=\([^ ]*\).*/\1/p" <<<" $2"; }
epoch_ms() { date +%s%3N; }
iso() { date -u -d "@$(( $1 / 1000 )).$(printf %03d $(( $1 % 1000 )))" +%Y-%m-%dT%H:%M:%S.%3NZ; }

regions=(leinster munster connacht)
platform=18080
$bin/fakeplatformd --port=$platform >"$work/platform.log" 2>&1 & pids+=($!)
for i in 0 1 2; do
    $bin/fakeupstreamd --name="${regions[$i]}" --first-port=$((18200 + 10 * i)) --servers=4 --slots=4 --queue=4 --service-ms=5 \
        >"$work/upstream-${regions[$i]}.log" 2>&1 & pids+=($!)
done

vms=""
for i in 0 1 2; do
    r=${regions[$i]}
    vms+="{\"id\":\"$r-entry\",\"kind\":\"entry\",\"state\":\"live\",\"host\":\"127.0.0.1\",\"port\":$((18100 + i)),\"nodePort\":$((18110 + i)),\"region\":\"$r\",\"zone\":\"$r-a\"},"
    for s in 0 1 2 3; do
        vms+="{\"id\":\"$r-server-$s\",\"kind\":\"upstream\",\"state\":\"live\",\"host\":\"127.0.0.1\",\"port\":$((18200 + 10 * i + s)),\"region\":\"$r\",\"zone\":\"$r-a\",\"service\":\"order-ledger\"},"
    done
done
post() { # arguments: path, body
    exec 3<>/dev/tcp/127.0.0.1/$platform
    printf 'POST %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' "$1" "${#2}" "$2" >&3
    head -1 <&3 | grep -q ' 200 '
    exec 3>&-
}
wait_for 10 bash -c "exec 3<>/dev/tcp/127.0.0.1/$platform"
post /control/vms "[${vms%,}]" || fail "the list of VMs was not taken"

declare_fleet() { # argument: directory that receives fleet.yaml
    mkdir -p "$1"
    {
        echo "kind: Fleet"; echo "name: fleet"; echo "regions:"
        for r in "${regions[@]}"; do echo "  - {region: $r, vmSlots: 1}"; done
        for pair in "leinster munster" "munster connacht" "connacht leinster"; do
            set -- "$1" ${pair}
            printf -- '---\nkind: Link\nname: %s-%s\nregions: [%s, %s]\ndelayMs: 20\n' "$2" "$3" "$2" "$3"
        done
        for r in "${regions[@]}"; do
            printf -- '---\nkind: Site\nname: %s\nregion: %s\nzones: [%s-a]\n' "$r" "$r" "$r"
            printf -- '---\nkind: Place\nname: ledger-%s\nservice: order-ledger\nregion: %s\nzones: [%s-a]\nservers: 4\nslotsPerServer: 4\nqueuePerServer: 4\n' "$r" "$r" "$r"
        done
        printf -- '---\nkind: Service\nname: order-ledger\nhosts: [ledger.example]\nrequiredSlots: 16\nlookupMaxAgeSeconds: 1\n'
        printf -- '---\nkind: Clients\nname: clients\nblocks:\n  - {prefix: 127.0.0.0/8, site: leinster}\n'
    } >"$1/fleet.yaml"
}
declare_fleet "$work/declarations"
ctl() { $bin/wasabistairctl "$@" --platform=127.0.0.1:$platform; }
ctl check "$work/declarations"
ctl publish "$work/declarations"
for i in 0 1 2; do
    r=${regions[$i]}
    $bin/wasabistaird --vm="$r-entry" --region="$r" --zone="$r-a" --caller-address=127.0.0.1:$((18100 + i)) \
        --node-address=127.0.0.1:$((18110 + i)) --platform=127.0.0.1:$platform --report-interval-ms=500 >"$work/$r-entry.log" 2>&1 & pids+=($!)
done
all_ready() { [ "$(ctl status --output=csv | grep -c ',yes,true,false,')" = 3 ]; }
wait_for 20 all_ready
echo; echo "== status"; ctl status
echo; echo "== look-up"; ctl lookup --service=order-ledger

load() { $bin/callerloadd --host=ledger.example "$@"; }
entries=127.0.0.1:18100,127.0.0.1:18101,127.0.0.1:18102
echo; echo "== one request of each kind, at each entry VM"
for kind in "catalogue-read 0 0" "order 100 300" "upload 100 3000000"; do
    set -- $kind
    out=$(load --entries=$entries --callers=3 --duration-ms=1 --post-percent="$2" --post-bytes="$3" --id-prefix="$1-")
    echo "$1: $out"
    [ "$(field requests "$out")" = "$(field answered "$out")" ] || fail "$1 was not answered"
done

echo; echo "== capped shift: at most 10% of leinster's requests go to munster"
printf 'kind: Shift\nname: to-munster\nservice: order-ledger\nfrom: ledger-leinster\nto: ledger-munster\ncapPermille: 100\n' >"$work/declarations/shift.yaml"
ctl diff "$work/declarations"
ctl publish "$work/declarations" --wait-ms=5000 || fail "the shift is not in force everywhere within 5 s"
out=$(load --entries=127.0.0.1:18100 --callers=4 --duration-ms=3000 --pause-ms=2 --post-percent=30 --id-prefix=shift-)
echo "callers: $out"
[ "$(field requests "$out")" = "$(field answered "$out")" ] || fail "requests were refused during the shift"
line=$(ctl status --output=csv | grep '^to-munster')
echo "shift: $line"
moved=$(cut -d, -f4 <<<"$line"); stayed=$(cut -d, -f5 <<<"$line")
[ "$moved" -gt 0 ] && [ $((moved * 10)) -le $((moved + stayed)) ] || fail "the shift did not keep its cap"
rm "$work/declarations/shift.yaml"

echo; echo "== planned stop of leinster's place, under load"
begin=$(( $(epoch_ms) + 4000 ))
printf 'kind: PlannedStop\nname: leinster-maintenance\nplace: ledger-leinster\nstart: %s\nend: %s\n' "$(iso $begin)" "$(iso $((begin + 3600000)))" >"$work/declarations/stop.yaml"
ctl publish "$work/declarations" --wait-ms=5000 || fail "the stop is not in force everywhere within 5 s"
out=$(load --entries=$entries --callers=6 --duration-ms=6000 --pause-ms=5 --post-percent=30 --id-prefix=stop-)
echo "callers: $out"
[ -z "$(field cut "$out")$(field unknown "$out")$(field no-answer "$out")" ] || fail "the stop cut requests"
sleep 2
ctl status --output=csv | grep '^leinster-maintenance' || fail "the stop is not in the status"

echo; echo "== review"
sleep 2
ctl report --plot="$work/review.svg"
[ -s "$work/review.svg" ] || fail "no plot"
ctl report --output=csv | grep -q '^order-ledger,ledger-leinster,' || fail "no figures"
echo; echo "== last events"; ctl timeline --limit=12

echo; echo "== drain of one entry VM"
kill -TERM "${pids[4]}"
wait "${pids[4]}" || fail "the entry VM did not end with 0"
echo; echo "demo: everything came out as declared"
