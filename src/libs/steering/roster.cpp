#include "roster.h"

#include "hash.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

int mostUrgentPriority(const Manifest &manifest, const std::string &service)
{
    int top = -1;
    for (const RouteRule &route : manifest.routes) {
        const bool uses = std::any_of(route.services.begin(), route.services.end(), [&](const ServiceWeight &part) { return part.service == service; });
        if (uses && (top < 0 || route.priority < top)) {
            top = route.priority;
        }
    }
    return std::max(top, 0);
}

} // namespace

RosterBuilder::RosterBuilder(Whereabouts whereabouts)
    : whereabouts_(std::move(whereabouts))
{
    std::set<std::string> regions{whereabouts_.region};
    for (const auto &[zone, region] : whereabouts_.regionOfZone) {
        regions.insert(region);
    }
    regions_.assign(regions.begin(), regions.end());
}

std::shared_ptr<const Roster> RosterBuilder::build(const RosterSources &sources, std::int64_t nowMs)
{
    auto roster = std::make_shared<Roster>();
    roster->manifest = sources.manifest;
    roster->fleetSize = std::max<int>(1, static_cast<int>(sources.vms.size()));
    forgetAllBut(sources.upstreams);
    if (sources.manifest) {
        for (const auto &[name, rule] : sources.manifest->services) {
            auto &record = services_[name];
            if (!record) {
                record = std::make_shared<ServiceRecord>();
            }
            record->topPriority.store(mostUrgentPriority(*sources.manifest, name), std::memory_order_relaxed);
            roster->services.emplace(name, ServiceRoster{rule, {}, record});
        }
    }
    for (const auto &[id, entry] : sources.upstreams) {
        RosterUpstream upstream = rosterUpstream(entry, sources, nowMs);
        const auto service = roster->services.find(entry.service);
        if (service != roster->services.end()) {
            service->second.upstreams.push_back(std::move(upstream));
        }
    }
    established_ = established_ || !sources.upstreams.empty();
    return roster;
}

RosterUpstream RosterBuilder::rosterUpstream(const UpstreamEntry &entry, const RosterSources &sources, std::int64_t nowMs)
{
    Known &known = knownUpstream(entry, nowMs);
    const bool evacuated = sources.evacuatedZones.contains(entry.zone);
    if (known.evacuated && !evacuated && sources.manifest) {
        // A zone that is taken back may have lost its caches.
        const auto rule = sources.manifest->services.find(entry.service);
        known.record->setColdUntil(nowMs + (rule == sources.manifest->services.end() ? 0 : rule->second.coldStartMs));
    }
    known.evacuated = evacuated;
    RosterUpstream upstream;
    upstream.entry = entry;
    const auto region = whereabouts_.regionOfZone.find(entry.zone);
    upstream.region = region == whereabouts_.regionOfZone.end() ? std::string() : region->second;
    upstream.idHash = hashOf(entry.id);
    upstream.local = upstream.region == whereabouts_.region;
    upstream.evacuated = evacuated;
    upstream.regionIndex = static_cast<std::size_t>(std::lower_bound(regions_.begin(), regions_.end(), upstream.region) - regions_.begin());
    upstream.joinedAtMs = known.joinedAtMs;
    upstream.coldRank = coldRank(upstream.idHash, sources.vms);
    upstream.record = known.record;
    return upstream;
}

RosterBuilder::Known &RosterBuilder::knownUpstream(const UpstreamEntry &entry, std::int64_t nowMs)
{
    Known &known = known_[entry.id];
    if (!known.record || known.startedAtMs != entry.startedAtMs) {
        known = {entry.startedAtMs, established_ ? nowMs : 0, 0, false, std::make_shared<UpstreamRecord>()};
    }
    if (known.coldLeftMs != entry.coldLeftMs) {
        known.coldLeftMs = entry.coldLeftMs;
        known.record->setColdUntil(nowMs + entry.coldLeftMs);
    }
    return known;
}

void RosterBuilder::forgetAllBut(const std::map<std::string, UpstreamEntry> &upstreams)
{
    std::erase_if(known_, [&](const auto &entry) { return !upstreams.contains(entry.first); });
}

int RosterBuilder::coldRank(std::uint64_t idHash, const std::set<std::string> &vms) const
{
    const std::uint64_t own = hashOf(whereabouts_.vm, idHash);
    return static_cast<int>(std::count_if(vms.begin(), vms.end(), [&](const std::string &vm) { return vm != whereabouts_.vm && hashOf(vm, idHash) < own; }));
}

RegionRoom regionRoom(const ServiceRoster &service, std::int64_t nowMs)
{
    RegionRoom room;
    for (const RosterUpstream &upstream : service.upstreams) {
        if (upstream.entry.leaving || upstream.evacuated
            || upstream.record->standingAt(service.record->silentShare.load(std::memory_order_relaxed), nowMs) == Standing::Suspended) {
            continue;
        }
        const double load = upstream.record->loadAt(nowMs, service.record->load.at(nowMs) * upstream.entry.slots);
        (upstream.local ? room.localSlots : room.remoteSlots) += upstream.entry.slots;
        (upstream.local ? room.localLoad : room.remoteLoad) += load;
    }
    room.localLoad = room.localSlots > 0 ? room.localLoad / room.localSlots : 0;
    room.remoteLoad = room.remoteSlots > 0 ? room.remoteLoad / room.remoteSlots : 0;
    return room;
}

} // namespace Wasabistair::Steering
