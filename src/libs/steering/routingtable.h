#pragma once

#include "blockmap.h"
#include "linkbudget.h"
#include "objects.h"
#include "retrybudget.h"
#include "serverload.h"
#include "shiftaccount.h"
#include "unitshare.h"
#include "vm.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Steering {

/// One accepted generation of the declared objects. Immutable.
struct Configuration {
    std::uint64_t generation = 0;
    std::string digest;
    ObjectSet objects;
    BlockMap blocks;
};

/// Start and end of a planned stop, as a server sees it.
struct StopWindow {
    std::string name;
    WallMs start = 0;
    WallMs end = noEnd;
};

/// One server of a place, with this VM's part of its capacity.
struct ServerEntry {
    Vm vm;
    std::int64_t units = 0;
    /// Units under the previous generation; the smaller of both holds until RoutingTable::holdUntil.
    std::int64_t unitsBefore = 0;
    std::int64_t connections = 0;
    WallMs coldStartMs = 0;
    std::vector<StopWindow> stops;
    std::shared_ptr<ServerLoad> load;
};

struct PlaceEntry {
    Place place;
    std::vector<ServerEntry> servers;
    /// Pacing towards and from another region; null within a region.
    std::shared_ptr<LinkBudget> uploadLink;
    std::shared_ptr<LinkBudget> answerLink;
};

struct ShiftEntry {
    Shift shift;
    std::uint16_t from = 0;
    std::uint16_t to = 0;
    /// This VM's part of an absolute cap.
    std::int64_t rateLimit = 0;
    std::shared_ptr<ShiftCounters> counters;
};

struct ServiceEntry {
    /// Shared, so that a request can keep it beyond the table's lifetime.
    std::shared_ptr<const Service> service;
    /// Indices of places, nearest first, for each region.
    std::map<std::string, std::vector<std::uint16_t>, std::less<>> placesByRegion;
    std::vector<ShiftEntry> shifts;
    std::shared_ptr<RetryBudget> retryBudget;
    /// Units of all its servers that this VM may occupy at most.
    std::int64_t units = 0;
};

/// Entry VMs by their distance to one site.
struct SiteEntry {
    std::vector<std::uint32_t> inSite;
    std::vector<std::uint32_t> inRegion;
    std::vector<std::uint32_t> elsewhere;
};

/// Everything that a look-up or a request needs, replaced as a whole (read-copy-update).
struct RoutingTable {
    std::shared_ptr<const Configuration> configuration;
    std::string ownRegion;
    std::optional<VmSlot> slot;
    MonotonicMs holdUntil = 0;
    std::vector<ServiceEntry> services;
    std::vector<PlaceEntry> places;
    std::vector<Vm> entryVms;
    std::vector<SiteEntry> sites;
    /// Entry VMs for callers of no known site, by distance to this VM's own region.
    SiteEntry fallbackSite;
};

/// Inputs of buildRoutingTable().
struct RoutingInputs {
    std::shared_ptr<const Configuration> configuration;
    std::vector<Vm> vms;
    /// Ids of entry VMs that take no callers although the list says live (suspected, not ready or draining).
    std::vector<std::string> unavailableEntryVms;
    std::string ownRegion;
    std::optional<VmSlot> slot;
    /// No units are gained from another fleet or slot before this time.
    MonotonicMs gainHoldUntil = 0;
    /// How long the first configuration of a process is held, since other VMs may not have it in force yet.
    MonotonicMs firstHoldMs = 0;
    MonotonicMs now = 0;
};

/// Time for which a VM's units stay at the smaller of two generations' values. Covers the 5 s within
/// which an accepted generation is in force everywhere, with as much again as a margin.
constexpr MonotonicMs unitGainHoldMs = 10'000;

/// Builds the next table. Counters and loads of objects that also stand in @p previous are carried over.
[[nodiscard]] std::shared_ptr<const RoutingTable> buildRoutingTable(const RoutingInputs &inputs, const RoutingTable *previous);

/// Index of the service that a request belongs to: by host, then by the longest matching path prefix.
[[nodiscard]] std::optional<std::uint16_t> matchService(const RoutingTable &table, const std::string &host, const std::string &path);
[[nodiscard]] std::optional<std::uint16_t> findService(const RoutingTable &table, const std::string &name);

} // namespace Wasabistair::Steering
