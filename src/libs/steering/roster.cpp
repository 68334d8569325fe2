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
    const std::set<std::string> changed = takeUpstreams(sources, nowMs);
    if (manifest_ != sources.manifest) {
        manifest_ = sources.manifest;
        rosters_.clear();
    }
    if (manifest_) {
        for (const auto &[name, rule] : manifest_->services) {
            std::shared_ptr<const ServiceRoster> &present = rosters_[name];
            if (!present || changed.contains(name)) {
                present = serviceRoster(name, *manifest_);
            }
        }
    }
    auto roster = std::make_shared<Roster>();
    roster->manifest = manifest_;
    roster->services = rosters_;
    roster->fleetSize = std::max<int>(1, static_cast<int>(sources.vms.size()));
    roster->vms = vmOrder(whereabouts_.vm, sources.vms);
    established_ = established_ || !sources.upstreams.empty();
    return roster;
}

std::set<std::string> RosterBuilder::takeUpstreams(const RosterSources &sources, std::int64_t nowMs)
{
    std::set<std::string> changed;
    // Both maps are sorted by id: one walk over both.
    auto known = known_.begin();
    for (const auto &[id, entry] : sources.upstreams) {
        while (known != known_.end() && known->first < id) {
            changed.insert(known->second.entry.service);
            known = known_.erase(known);
        }
        if (known == known_.end() || known->first != id) {
            known = known_.emplace_hint(known, id, Known());
        }
        const std::string serviceBefore = known->second.entry.service;
        if (takeUpstream(known->second, entry, sources, nowMs)) {
            changed.insert(serviceBefore);
            changed.insert(entry.service);
        }
        ++known;
    }
    while (known != known_.end()) {
        changed.insert(known->second.entry.service);
        known = known_.erase(known);
    }
    return changed;
}

bool RosterBuilder::takeUpstream(Known &known, const UpstreamEntry &entry, const RosterSources &sources, std::int64_t nowMs) const
{
    const bool evacuated = sources.evacuatedZones.contains(entry.zone);
    if (known.record && known.entry == entry && known.evacuated == evacuated) {
        return false;
    }
    if (!known.record || known.entry.startedAtMs != entry.startedAtMs) {
        known = {{}, established_ ? nowMs : 0, false, std::make_shared<UpstreamRecord>()};
    }
    if (known.entry.coldLeftMs != entry.coldLeftMs) {
        known.record->setColdUntil(nowMs + entry.coldLeftMs);
    }
    if (known.evacuated && !evacuated && sources.manifest) {
        // A zone that is taken back may have lost its caches.
        const auto rule = sources.manifest->services.find(entry.service);
        known.record->setColdUntil(nowMs + (rule == sources.manifest->services.end() ? 0 : rule->second.coldStartMs));
    }
    known.entry = entry;
    known.evacuated = evacuated;
    return true;
}

std::shared_ptr<const ServiceRoster> RosterBuilder::serviceRoster(const std::string &name, const Manifest &manifest)
{
    auto &record = services_[name];
    if (!record) {
        record = std::make_shared<ServiceRecord>();
    }
    record->topPriority.store(mostUrgentPriority(manifest, name), std::memory_order_relaxed);
    auto roster = std::make_shared<ServiceRoster>();
    roster->rule = manifest.services.at(name);
    roster->record = record;
    for (const auto &[id, known] : known_) {
        if (known.entry.service == name) {
            roster->upstreams.push_back(rosterUpstream(known));
        }
    }
    return roster;
}

RosterUpstream RosterBuilder::rosterUpstream(const Known &known) const
{
    RosterUpstream upstream;
    upstream.entry = known.entry;
    const auto region = whereabouts_.regionOfZone.find(known.entry.zone);
    upstream.region = region == whereabouts_.regionOfZone.end() ? std::string() : region->second;
    upstream.idHash = hashOf(known.entry.id);
    upstream.local = upstream.region == whereabouts_.region;
    upstream.evacuated = known.evacuated;
    upstream.regionIndex = static_cast<std::size_t>(std::lower_bound(regions_.begin(), regions_.end(), upstream.region) - regions_.begin());
    upstream.joinedAtMs = known.joinedAtMs;
    upstream.record = known.record;
    return upstream;
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
