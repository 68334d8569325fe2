#pragma once

#include "admission.h"
#include "coldstartshare.h"
#include "fleetretrybudget.h"
#include "manifest.h"
#include "placementrecord.h"
#include "regionpreference.h"
#include "serviceload.h"
#include "upstreamentry.h"
#include "upstreamrecord.h"

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Wasabistair::Steering {

/// What this VM observes of one service. Kept when the routing snapshot is replaced.
struct ServiceRecord {
    FleetRetryBudget retries;
    /// Share of keys that go to this VM's region; negative until it is first computed.
    std::atomic<double> localShare{-1};
    /// Timeout rate of this VM's attempts at all upstreams of the service, exponentially weighted.
    std::atomic<double> timeoutRate{0};
    ServiceLoad load;
    /// Requests received from callers. The local share keeps its initial value until there are some.
    std::atomic<std::uint64_t> requests{0};
    /// Most urgent priority that a request of the service can have, by its route or its team; 0 is the most urgent.
    std::atomic<int> topPriority{0};
    ServiceAdmission admission;
    PlacementRecord placement;
};

/// One registered upstream of a service.
struct UpstreamSnapshot {
    UpstreamEntry entry;
    std::string region;
    std::uint64_t idHash = 0;
    bool local = false;
    bool evacuated = false;
    /// Index of the region in the sorted list of all regions.
    std::size_t regionIndex = 0;
    /// When this VM first received the registration; 0 for those of the first snapshot with upstreams.
    std::int64_t joinedAtMs = 0;
    std::shared_ptr<UpstreamRecord> record;
    Distance distance = Distance::OtherRegion;
};

struct ServiceSnapshot {
    ServiceRule rule;
    std::vector<UpstreamSnapshot> upstreams;
    std::shared_ptr<ServiceRecord> record;
};

/// Routing snapshot: all data that the selection of an upstream reads. Immutable; a change replaces it as a whole.
struct RoutingSnapshot: public std::enable_shared_from_this<RoutingSnapshot> {
    /// Null until the first manifest has been received.
    std::shared_ptr<const Manifest> manifest;
    /// A service without changes shares its object with the previous snapshot.
    std::map<std::string, std::shared_ptr<const ServiceSnapshot>, std::less<>> services;
    /// Number of registered VMs, alive or not; at least 1.
    int fleetSize = 1;
    VmHashes vms;
};

/// Name, zone and region of this VM.
struct Locality {
    std::string vm;
    std::string zone;
    std::string region;
    /// Region of each zone.
    std::map<std::string, std::string> regionOfZone;

    bool operator==(const Locality &) const = default;
};

/// Data from which a routing snapshot is built.
struct RoutingSnapshotSources {
    std::shared_ptr<const Manifest> manifest;
    std::map<std::string, UpstreamEntry> upstreams;
    std::set<std::string> evacuatedZones;
    /// Names of all registered VMs, this one included.
    std::set<std::string> vms;
};

/// Builds routing snapshots. Keeps the observations of upstreams and services from one snapshot to the next and reuses the objects of
/// services without changes. Not thread-safe.
class RoutingSnapshotBuilder
{
public:
    explicit RoutingSnapshotBuilder(Locality locality);

    [[nodiscard]] std::shared_ptr<const RoutingSnapshot> build(const RoutingSnapshotSources &sources, std::int64_t nowMs);

private:
    struct TrackedUpstream {
        UpstreamEntry entry;
        std::int64_t joinedAtMs = 0;
        bool evacuated = false;
        std::shared_ptr<UpstreamRecord> record;
    };

    /// Record of an incarnation that is no longer registered, and when it is dropped.
    struct UnregisteredRecord {
        std::shared_ptr<UpstreamRecord> record;
        std::int64_t dropAtMs = 0;
    };

    /// Id and start time, which together identify an incarnation.
    using Incarnation = std::pair<std::string, std::int64_t>;

    /// Applies the upstreams of @p sources; returns the services with an added, removed or changed upstream.
    std::set<std::string> applyUpstreams(const RoutingSnapshotSources &sources, std::int64_t nowMs);
    /// Applies one registration; returns whether it changed.
    bool applyUpstream(TrackedUpstream &tracked, const UpstreamEntry &entry, const RoutingSnapshotSources &sources, std::int64_t nowMs);
    /// Keeps the record of @p tracked for the case that the same incarnation is registered again.
    void keepRecord(const TrackedUpstream &tracked, std::int64_t nowMs);
    /// The record that was kept for the incarnation of @p entry, or a new one.
    [[nodiscard]] std::shared_ptr<UpstreamRecord> takeRecord(const UpstreamEntry &entry);
    [[nodiscard]] std::shared_ptr<const ServiceSnapshot> serviceSnapshot(const std::string &name, const Manifest &manifest);
    [[nodiscard]] UpstreamSnapshot upstreamSnapshot(const TrackedUpstream &tracked) const;

    const Locality locality_;
    std::vector<std::string> regions_;
    std::map<std::string, TrackedUpstream> upstreams_;
    std::map<Incarnation, UnregisteredRecord> unregistered_;
    std::map<std::string, std::shared_ptr<ServiceRecord>> serviceRecords_;
    /// Manifest that the present service snapshots were built from.
    std::shared_ptr<const Manifest> manifest_;
    std::map<std::string, std::shared_ptr<const ServiceSnapshot>, std::less<>> serviceSnapshots_;
    /// Whether a snapshot with upstreams was built before; upstreams added later warm up.
    bool initialized_ = false;
};

/// Whether requests may be sent to @p upstream: it isn't leaving, by its registration or its own answers, and its zone isn't evacuated.
[[nodiscard]] bool isOpen(const UpstreamSnapshot &upstream, std::int64_t nowMs);
/// The same for the upstream of @p record; false if @p service doesn't have it.
[[nodiscard]] bool isOpen(const ServiceSnapshot &service, const UpstreamRecord &record, std::int64_t nowMs);

/// Whether requests of a service go to the upstream that is expected to answer first, and keys are placed zone by zone.
enum class PlacementMode {
    /// For services whose upstreams state their pace.
    Auto,
    On,
    Off,
};

[[nodiscard]] bool isPlacedByFinish(PlacementMode mode, const ServiceSnapshot &service);

/// Estimated running and waiting requests at @p upstream. Without a recent report it is taken for the mean of the service, or, if
/// @p byRegion, of the service's upstreams in the same part of the fleet: this VM's region or the others.
[[nodiscard]] double estimatedLoad(const ServiceSnapshot &service, const UpstreamSnapshot &upstream, bool byRegion, std::int64_t nowMs);

/// Slots and load of @p service in this VM's region and in the others, as this VM estimates them. Only upstreams that take requests
/// count. @p byRegion: see estimatedLoad().
[[nodiscard]] RegionCapacity regionCapacity(const ServiceSnapshot &service, std::int64_t nowMs, bool byRegion = false);

} // namespace Wasabistair::Steering
