#pragma once

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Wasabistair::Soak {

enum class FaultKind {
    /// The way from one VM to the store, or from all VMs to one upstream: no byte passes.
    StoreSilent,
    UpstreamSilent,
    /// Connections are reset and refused.
    StoreCut,
    UpstreamCut,
    /// Bytes come late.
    StoreDelayed,
    UpstreamDelayed,
    /// For all VMs.
    StoreBusy,
    StoreLosesAnswers,
    StoreForgets,
    /// What one upstream does.
    UpstreamSpoils,
    UpstreamFails,
    UpstreamSheds,
    UpstreamDrains,
    UpstreamReplaced,
    ZoneEvacuated,
    ManifestGrows,
    /// What is done to one VM's process.
    VmPaused,
    VmKilled,
    VmStopped,
    VmReloaded,
};

constexpr int faultKindCount = 20;
[[nodiscard]] std::string_view toString(FaultKind kind);

/// What a fault is done to.
enum class FaultPart {
    Vm,
    Store,
    /// From one VM.
    WayToStore,
    Upstream,
    /// From all VMs to one upstream.
    WayToUpstream,
    Zone,
    Manifest,
};

[[nodiscard]] FaultPart partOf(FaultKind kind);

struct Fault {
    FaultKind kind = FaultKind::StoreSilent;
    /// From the start of the load.
    std::int64_t atMs = 0;
    std::int64_t forMs = 0;
    /// Index of the VM, upstream or zone.
    int target = 0;

    auto operator<=>(const Fault &) const = default;
};

struct Size {
    int vms = 5;
    int upstreams = 10;
    std::int64_t durationMs = 24'000;

    auto operator<=>(const Size &) const = default;
};

/// Faults of one run, in order of time; the same for the same seed. They overlap, come in series, and are over early enough
/// for the system to recover before the end.
[[nodiscard]] std::vector<Fault> drawPlan(std::uint64_t seed, const Size &size);

} // namespace Wasabistair::Soak
