#include "routingsnapshot.h"

#include "hash.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A registration that is missing for longer than this belongs to an upstream that has ended: entries that lapse during an outage are
// back within seconds of its end.
constexpr std::int64_t unregisteredRecordMs = 600'000;
// Bounds the memory for upstreams that have ended; the oldest are dropped first.
constexpr std::size_t maxUnregisteredRecords = 4'096;

/// Most urgent priority of the requests of @p route: of any team that may send them.
int mostUrgentPriority(const TeamDirectory &teams, const RouteRule &route)
{
    if (route.anonymous || teams.teams().empty()) {
        return route.priority;
    }
    const auto priorityOfTeam = [&](const TeamRule &team) { return priorityOf(RequestRules{&route, &team}); };
    const auto moreUrgent = [&](const TeamRule &left, const TeamRule &right) { return priorityOfTeam(left) < priorityOfTeam(right); };
    return priorityOfTeam(*std::min_element(teams.teams().begin(), teams.teams().end(), moreUrgent));
}

int mostUrgentPriority(const Manifest &manifest, const std::string &service)
{
    int top = -1;
    for (const RouteRule &route : manifest.routes) {
        const bool usesService = std::any_of(route.services.begin(), route.services.end(), [&](const ServiceWeight &part) { return part.service == service; });
        const int priority = usesService ? mostUrgentPriority(manifest.teams, route) : 0;
        if (usesService && (top < 0 || priority < top)) {
            top = priority;
        }
    }
    return std::max(top, 0);
}

} // namespace

RoutingSnapshotBuilder::RoutingSnapshotBuilder(Locality locality)
    : locality_(std::move(locality))
{
    std::set<std::string> regions{locality_.region};
    for (const auto &[zone, region] : locality_.regionOfZone) {
        regions.insert(region);
    }
    regions_.assign(regions.begin(), regions.end());
}

std::shared_ptr<const RoutingSnapshot> RoutingSnapshotBuilder::build(const RoutingSnapshotSources &sources, std::int64_t nowMs)
{
    const std::set<std::string> changed = applyUpstreams(sources, nowMs);
    if (manifest_ != sources.manifest) {
        manifest_ = sources.manifest;
        serviceSnapshots_.clear();
    }
    if (manifest_) {
        for (const auto &[name, rule] : manifest_->services) {
            std::shared_ptr<const ServiceSnapshot> &present = serviceSnapshots_[name];
            if (!present || changed.contains(name)) {
                present = serviceSnapshot(name, *manifest_);
            }
        }
    }
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->manifest = manifest_;
    snapshot->services = serviceSnapshots_;
    snapshot->fleetSize = std::max<int>(1, static_cast<int>(sources.vms.size()));
    snapshot->vms = vmHashes(locality_.vm, sources.vms);
    initialized_ = initialized_ || !sources.upstreams.empty();
    return snapshot;
}

std::set<std::string> RoutingSnapshotBuilder::applyUpstreams(const RoutingSnapshotSources &sources, std::int64_t nowMs)
{
    std::set<std::string> changed;
    std::erase_if(unregistered_, [&](const auto &kept) { return kept.second.dropAtMs <= nowMs; });
    // Both maps are sorted by id, so one pass compares them.
    auto tracked = upstreams_.begin();
    for (const auto &[id, entry] : sources.upstreams) {
        while (tracked != upstreams_.end() && tracked->first < id) {
            changed.insert(tracked->second.entry.service);
            keepRecord(tracked->second, nowMs);
            tracked = upstreams_.erase(tracked);
        }
        if (tracked == upstreams_.end() || tracked->first != id) {
            tracked = upstreams_.emplace_hint(tracked, id, TrackedUpstream());
        }
        const std::string previousService = tracked->second.entry.service;
        if (applyUpstream(tracked->second, entry, sources, nowMs)) {
            changed.insert(previousService);
            changed.insert(entry.service);
        }
        ++tracked;
    }
    while (tracked != upstreams_.end()) {
        changed.insert(tracked->second.entry.service);
        keepRecord(tracked->second, nowMs);
        tracked = upstreams_.erase(tracked);
    }
    return changed;
}

bool RoutingSnapshotBuilder::applyUpstream(TrackedUpstream &tracked, const UpstreamEntry &entry, const RoutingSnapshotSources &sources, std::int64_t nowMs)
{
    const bool evacuated = sources.evacuatedZones.contains(entry.zone);
    if (tracked.record && tracked.entry == entry && tracked.evacuated == evacuated) {
        return false;
    }
    if (!tracked.record || tracked.entry.startedAtMs != entry.startedAtMs) {
        keepRecord(tracked, nowMs);
        tracked = {{}, initialized_ ? nowMs : 0, false, takeRecord(entry)};
    }
    if (tracked.entry.coldLeftMs != entry.coldLeftMs) {
        tracked.record->setColdUntil(nowMs + entry.coldLeftMs);
    }
    if (tracked.evacuated && !evacuated && sources.manifest) {
        // Caches may have been lost during the evacuation, so the upstreams of a restored zone count as cold.
        const auto rule = sources.manifest->services.find(entry.service);
        tracked.record->setColdUntil(nowMs + (rule == sources.manifest->services.end() ? 0 : rule->second.coldStartMs));
    }
    tracked.entry = entry;
    tracked.evacuated = evacuated;
    return true;
}

void RoutingSnapshotBuilder::keepRecord(const TrackedUpstream &tracked, std::int64_t nowMs)
{
    if (!tracked.record || !tracked.record->hasStatementAt(nowMs)) {
        return;
    }
    unregistered_[{tracked.entry.id, tracked.entry.startedAtMs}] = {tracked.record, nowMs + unregisteredRecordMs};
    if (unregistered_.size() > maxUnregisteredRecords) {
        const auto earlier = [](const auto &left, const auto &right) { return left.second.dropAtMs < right.second.dropAtMs; };
        unregistered_.erase(std::min_element(unregistered_.begin(), unregistered_.end(), earlier));
    }
}

std::shared_ptr<UpstreamRecord> RoutingSnapshotBuilder::takeRecord(const UpstreamEntry &entry)
{
    const auto kept = unregistered_.extract(Incarnation{entry.id, entry.startedAtMs});
    return kept.empty() ? std::make_shared<UpstreamRecord>() : kept.mapped().record;
}

std::shared_ptr<const ServiceSnapshot> RoutingSnapshotBuilder::serviceSnapshot(const std::string &name, const Manifest &manifest)
{
    auto &record = serviceRecords_[name];
    if (!record) {
        record = std::make_shared<ServiceRecord>();
    }
    record->topPriority.store(mostUrgentPriority(manifest, name), std::memory_order_relaxed);
    auto snapshot = std::make_shared<ServiceSnapshot>();
    snapshot->rule = manifest.services.at(name);
    snapshot->record = record;
    for (const auto &[id, tracked] : upstreams_) {
        if (tracked.entry.service == name) {
            snapshot->upstreams.push_back(upstreamSnapshot(tracked));
        }
    }
    return snapshot;
}

UpstreamSnapshot RoutingSnapshotBuilder::upstreamSnapshot(const TrackedUpstream &tracked) const
{
    UpstreamSnapshot upstream;
    upstream.entry = tracked.entry;
    const auto region = locality_.regionOfZone.find(tracked.entry.zone);
    upstream.region = region == locality_.regionOfZone.end() ? std::string() : region->second;
    upstream.idHash = hashOf(tracked.entry.id);
    upstream.local = upstream.region == locality_.region;
    upstream.evacuated = tracked.evacuated;
    upstream.regionIndex = static_cast<std::size_t>(std::lower_bound(regions_.begin(), regions_.end(), upstream.region) - regions_.begin());
    upstream.joinedAtMs = tracked.joinedAtMs;
    upstream.record = tracked.record;
    upstream.distance = upstream.local ? tracked.entry.zone == locality_.zone ? Distance::OwnZone : Distance::OwnRegion : Distance::OtherRegion;
    return upstream;
}

bool isPlacedByFinish(PlacementMode mode, const ServiceSnapshot &service)
{
    return mode == PlacementMode::On || (mode == PlacementMode::Auto && service.record->placement.reportsPace());
}

bool isOpen(const UpstreamSnapshot &upstream, std::int64_t nowMs)
{
    return !upstream.entry.leaving && !upstream.evacuated && !upstream.record->leavingNotice().isInForceAt(nowMs);
}

bool isOpen(const ServiceSnapshot &service, const UpstreamRecord &record, std::int64_t nowMs)
{
    return std::any_of(service.upstreams.begin(), service.upstreams.end(),
        [&](const UpstreamSnapshot &upstream) { return upstream.record.get() == &record && isOpen(upstream, nowMs); });
}

double estimatedLoad(const ServiceSnapshot &service, const UpstreamSnapshot &upstream, bool byRegion, std::int64_t nowMs)
{
    const double mean = byRegion ? service.record->placement.loadPerSlotAt(upstream.local, nowMs) : service.record->load.at(nowMs);
    return upstream.record->loadAt(nowMs, mean * upstream.entry.slots);
}

RegionCapacity regionCapacity(const ServiceSnapshot &service, std::int64_t nowMs, bool byRegion)
{
    RegionCapacity room;
    for (const UpstreamSnapshot &upstream : service.upstreams) {
        if (!isOpen(upstream, nowMs) || upstream.record->requestedPause().isInForceAt(nowMs)
            || upstream.record->healthStateAt(service.record->timeoutRate.load(std::memory_order_relaxed), nowMs) == HealthState::Ejected) {
            continue;
        }
        const double load = estimatedLoad(service, upstream, byRegion, nowMs);
        (upstream.local ? room.localSlots : room.remoteSlots) += upstream.entry.slots;
        (upstream.local ? room.localLoad : room.remoteLoad) += load;
    }
    room.localLoad = room.localSlots > 0 ? room.localLoad / room.localSlots : 0;
    room.remoteLoad = room.remoteSlots > 0 ? room.remoteLoad / room.remoteSlots : 0;
    return room;
}

} // namespace Wasabistair::Steering
