#pragma once

#include "clientblockmap.h"
#include "linkpacer.h"
#include "objects.h"
#include "retrybudget.h"
#include "serverload.h"
#include "shiftlimiter.h"
#include "unitshare.h"
#include "vm.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// One accepted generation of the declared objects; immutable once published.
struct Configuration {
    std::uint64_t generation = 0;
    std::string digest;
    ObjectSet objects;
    ClientBlockMap blocks;
};

/// Name, start and end of a planned stop that applies to a server.
struct StopWindow {
    std::string name;
    WallMs start = 0;
    WallMs end = noEnd;
};

/// One server of a place, with this VM's share of its capacity.
struct ServerEntry {
    Vm vm;
    std::int64_t units = 0;
    /// Units under the previous generation; the smaller of the two applies until RoutingTable::holdUntil.
    std::int64_t unitsBefore = 0;
    /// This VM's share of the connections that the server accepts; at least 1, or 0 without a VM slot.
    std::int64_t connections = 0;
    WallMs coldStartMs = 0;
    std::vector<StopWindow> stops;
    std::shared_ptr<ServerLoad> load;
};

struct PlaceEntry {
    Place place;
    std::vector<ServerEntry> servers;
    /// Pace request and answer bytes to and from another region; null within a region.
    std::shared_ptr<LinkPacer> uploadLink;
    std::shared_ptr<LinkPacer> answerLink;
};

struct ShiftEntry {
    Shift shift;
    std::uint16_t from = 0;
    std::uint16_t to = 0;
    /// This VM's share of Shift::capRequestsPerSecond.
    std::int64_t rateLimit = 0;
    std::shared_ptr<ShiftCounters> counters;
};

struct ServiceEntry {
    /// Shared, because a request may outlive the table.
    std::shared_ptr<const Service> service;
    /// Indices of places, nearest first, for each region.
    std::map<std::string, std::vector<std::uint16_t>, std::less<>> placesByRegion;
    std::vector<ShiftEntry> shifts;
    std::shared_ptr<RetryBudget> retryBudget;
    /// This VM's units summed over all servers of the service.
    std::int64_t units = 0;
};

/// Entry VMs grouped by distance to one site, as indices into RoutingTable::entryVms.
struct SiteEntry {
    std::vector<std::uint32_t> inSite;
    /// In the site's region, but outside the site.
    std::vector<std::uint32_t> inRegion;
    std::vector<std::uint32_t> elsewhere;
};

/// Routing data that look-ups and requests read; a change replaces the whole table (read-copy-update).
struct RoutingTable {
    std::shared_ptr<const Configuration> configuration;
    std::string ownRegion;
    std::optional<VmSlot> slot;
    /// Until then a server's usable units are the smaller of ServerEntry::units and ServerEntry::unitsBefore.
    MonotonicMs holdUntil = 0;
    std::vector<ServiceEntry> services;
    std::vector<PlaceEntry> places;
    std::vector<Vm> entryVms;
    std::vector<SiteEntry> sites;
    /// Entry VMs for callers outside every client block, grouped by distance to this VM's region.
    SiteEntry fallbackSite;
};

/// Inputs of buildRoutingTable().
struct RoutingInputs {
    std::shared_ptr<const Configuration> configuration;
    std::vector<Vm> vms;
    /// Ids of entry VMs listed as live that accept no callers: suspected, not ready or draining.
    std::vector<std::string> unavailableEntryVms;
    std::string ownRegion;
    std::optional<VmSlot> slot;
    /// Units gained by a change of the fleet or of the VM slot are not used before this time.
    MonotonicMs gainHoldUntil = 0;
    /// How long units of the first configuration of a process are held back, because other VMs may not have applied it yet.
    MonotonicMs firstHoldMs = 0;
    MonotonicMs now = 0;
};

/// Time for which a VM's units stay at the smaller of two generations' values: the 5 s within which all VMs apply an accepted
/// generation, plus the same again as a margin.
constexpr MonotonicMs unitGainHoldMs = 10'000;

/// Builds the next table. Objects that are also in @p previous keep their counters and server loads.
[[nodiscard]] std::shared_ptr<const RoutingTable> buildRoutingTable(const RoutingInputs &inputs, const RoutingTable *previous);

/// Index of the service that a request is for: by host, then by the longest matching path prefix.
[[nodiscard]] std::optional<std::uint16_t> matchService(const RoutingTable &table, const std::string &host, const std::string &path);
[[nodiscard]] std::optional<std::uint16_t> findService(const RoutingTable &table, const std::string &name);

} // namespace Wasabistair::Steering
