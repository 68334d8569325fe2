#include "soakplan.h"

#include <algorithm>
#include <array>
#include <random>

namespace Wasabistair::Soak {

namespace {

// One fault begins in so many ms, on average.
constexpr std::int64_t faultEveryMs = 700;
constexpr std::int64_t shortestMs = 300;
constexpr std::int64_t longestMs = 4'000;
// Leaving takes longer than its bound, so that what comes late can be seen.
constexpr std::int64_t shortestLeavingMs = 5'500;
constexpr std::int64_t longestLeavingMs = 9'000;
constexpr int zoneCount = 2;
// One in so many draws is a series of the same fault on neighbours.
constexpr int seriesOneIn = 5;
constexpr int longestSeries = 4;
constexpr std::int64_t seriesGapMs = 250;
// Part of the run, in percent, by whose end all faults are over.
constexpr std::int64_t faultyPercent = 65;

bool isLeaving(FaultKind kind)
{
    return kind == FaultKind::UpstreamDrains || kind == FaultKind::ZoneEvacuated;
}

int targetsOf(FaultKind kind, const Size &size)
{
    const FaultPart part = partOf(kind);
    if (part == FaultPart::Vm || part == FaultPart::WayToStore) {
        return size.vms;
    }
    return part == FaultPart::Zone ? zoneCount : size.upstreams;
}

} // namespace

FaultPart partOf(FaultKind kind)
{
    switch (kind) {
    case FaultKind::StoreSilent:
    case FaultKind::StoreCut:
    case FaultKind::StoreDelayed:
        return FaultPart::WayToStore;
    case FaultKind::UpstreamSilent:
    case FaultKind::UpstreamCut:
    case FaultKind::UpstreamDelayed:
        return FaultPart::WayToUpstream;
    case FaultKind::StoreBusy:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreForgets:
        return FaultPart::Store;
    case FaultKind::ZoneEvacuated:
        return FaultPart::Zone;
    case FaultKind::ManifestGrows:
        return FaultPart::Manifest;
    case FaultKind::VmPaused:
    case FaultKind::VmKilled:
    case FaultKind::VmStopped:
    case FaultKind::VmReloaded:
        return FaultPart::Vm;
    default:
        return FaultPart::Upstream;
    }
}

std::string_view toString(FaultKind kind)
{
    static constexpr std::array<std::string_view, faultKindCount> names = {"store-silent", "upstream-silent", "store-cut", "upstream-cut", "store-delayed",
        "upstream-delayed", "store-busy", "store-loses-answers", "store-forgets", "upstream-spoils", "upstream-fails", "upstream-sheds", "upstream-drains",
        "upstream-replaced", "zone-evacuated", "manifest-grows", "vm-paused", "vm-killed", "vm-stopped", "vm-reloaded"};
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<Fault> drawPlan(std::uint64_t seed, const Size &size)
{
    std::mt19937_64 random(seed);
    const auto below = [&](std::int64_t limit) { return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(limit)); };
    const std::int64_t faultyMs = size.durationMs * faultyPercent / 100;
    std::vector<Fault> plan;
    for (std::int64_t i = 0; i < faultyMs / faultEveryMs; ++i) {
        const auto kind = static_cast<FaultKind>(below(faultKindCount));
        const std::int64_t series = below(seriesOneIn) == 0 ? 2 + below(longestSeries - 1) : 1;
        const std::int64_t at = below(faultyMs);
        const std::int64_t first = below(targetsOf(kind, size));
        for (std::int64_t part = 0; part < series; ++part) {
            const std::int64_t shortest = isLeaving(kind) ? shortestLeavingMs : shortestMs;
            const std::int64_t longest = isLeaving(kind) ? longestLeavingMs : longestMs;
            Fault fault{kind, at + part * seriesGapMs, shortest + below(longest - shortest), static_cast<int>((first + part) % targetsOf(kind, size))};
            fault.forMs = std::min(fault.forMs, faultyMs - fault.atMs);
            if (fault.forMs >= shortestMs) {
                plan.push_back(fault);
            }
        }
    }
    std::stable_sort(plan.begin(), plan.end(), [](const Fault &left, const Fault &right) { return left.atMs < right.atMs; });
    return plan;
}

} // namespace Wasabistair::Soak
