#pragma once

#include "coldshare.h"
#include "manifest.h"
#include "regionpreference.h"
#include "retrywindow.h"
#include "serviceload.h"
#include "upstreamentry.h"
#include "upstreamrecord.h"

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// Observations of one service that outlive rosters.
struct ServiceRecord {
    RetryWindow retries;
    /// Share of keys that go to the VM's own region; negative until first computed.
    std::atomic<double> localShare{-1};
    /// Share of this VM's tries at any upstream that met their deadline, exponentially weighted.
    std::atomic<double> silentShare{0};
    ServiceLoad load;
    /// Requests of callers; the share stays at its first value until there are some.
    std::atomic<std::uint64_t> requests{0};
    /// Most urgent priority of any route of the service.
    std::atomic<int> topPriority{0};
};

/// One upstream that requests may go to.
struct RosterUpstream {
    UpstreamEntry entry;
    std::string region;
    std::uint64_t idHash = 0;
    bool local = false;
    bool evacuated = false;
    /// Index of the region in the sorted list of all regions.
    std::size_t regionIndex = 0;
    /// When this VM first saw it; 0 for those that were there when the VM started.
    std::int64_t joinedAtMs = 0;
    std::shared_ptr<UpstreamRecord> record;
};

struct ServiceRoster {
    ServiceRule rule;
    std::vector<RosterUpstream> upstreams;
    std::shared_ptr<ServiceRecord> record;
};

/// Everything that a request's choice reads; immutable, replaced as a whole.
struct Roster: public std::enable_shared_from_this<Roster> {
    /// Null until the first manifest is known.
    std::shared_ptr<const Manifest> manifest;
    /// Shared with the roster before when nothing of the service changed.
    std::map<std::string, std::shared_ptr<const ServiceRoster>, std::less<>> services;
    /// Registered VMs, living or not; at least 1.
    int fleetSize = 1;
    VmOrder vms;
};

/// Name and place of this VM.
struct Whereabouts {
    std::string vm;
    std::string zone;
    std::string region;
    /// Region of each zone.
    std::map<std::string, std::string> regionOfZone;

    bool operator==(const Whereabouts &) const = default;
};

/// What rosters are built from.
struct RosterSources {
    std::shared_ptr<const Manifest> manifest;
    std::map<std::string, UpstreamEntry> upstreams;
    std::set<std::string> evacuatedZones;
    /// Names of all registered VMs, this one included.
    std::set<std::string> vms;
};

/// Builds rosters and keeps the records of upstreams and services from one roster to the next; services without a change are
/// taken over as they are. Not thread-safe.
class RosterBuilder
{
public:
    explicit RosterBuilder(Whereabouts whereabouts);

    [[nodiscard]] std::shared_ptr<const Roster> build(const RosterSources &sources, std::int64_t nowMs);

private:
    struct Known {
        UpstreamEntry entry;
        std::int64_t joinedAtMs = 0;
        bool evacuated = false;
        std::shared_ptr<UpstreamRecord> record;
    };

    /// Takes over @p sources into known_; returns the services of which an upstream came, went or changed.
    std::set<std::string> takeUpstreams(const RosterSources &sources, std::int64_t nowMs);
    /// True when anything of the entry changed.
    bool takeUpstream(Known &known, const UpstreamEntry &entry, const RosterSources &sources, std::int64_t nowMs) const;
    [[nodiscard]] std::shared_ptr<const ServiceRoster> serviceRoster(const std::string &name, const Manifest &manifest);
    [[nodiscard]] RosterUpstream rosterUpstream(const Known &known) const;

    const Whereabouts whereabouts_;
    std::vector<std::string> regions_;
    std::map<std::string, Known> known_;
    std::map<std::string, std::shared_ptr<ServiceRecord>> services_;
    /// What the present rosters were built from.
    std::shared_ptr<const Manifest> manifest_;
    std::map<std::string, std::shared_ptr<const ServiceRoster>, std::less<>> rosters_;
    bool established_ = false;
};

/// Room of @p service by region, from estimates of this VM; upstreams that take no requests don't count.
[[nodiscard]] RegionRoom regionRoom(const ServiceRoster &service, std::int64_t nowMs);

} // namespace Wasabistair::Steering
