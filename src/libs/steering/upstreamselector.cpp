#include "upstreamselector.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// Time until a new upstream has its full share of keys: short enough to add capacity soon, long enough that the caches of the other
// upstreams keep most of their value.
constexpr double warmUpMs = 6'000;
constexpr double initialRamp = 0.2;
// Load per slot up to which requests are sent. Above it, waiting costs the caller more time than a rejection.
constexpr double hardLimit = 3.4;
// Part of the load limit that each lower priority level leaves to the more urgent requests of the same service.
constexpr double reservePerPriority = 0.15;
// Load limit of the least urgent requests, per slot.
constexpr double minLoadLimit = 1.2;
// An upstream on probation gets one request from this VM per interval. All VMs together then send a fraction of the rate of a cold upstream.
constexpr std::int64_t probationIntervalMs = 700;
// This VM's share of an upstream's connection limit, as a multiple of an even division among all VMs.
constexpr double connectionShareFactor = 3;

double rampAt(std::int64_t joinedAtMs, std::int64_t nowMs)
{
    if (joinedAtMs == 0) {
        return 1;
    }
    return std::clamp(static_cast<double>(nowMs - joinedAtMs) / warmUpMs, initialRamp, 1.0);
}

bool isBelowConnectionLimit(const Roster &roster, const ServiceRule &rule, const RosterUpstream &upstream)
{
    return rule.maxConnections <= 0
        || upstream.record->inFlight() < std::max(2.0, connectionShareFactor * static_cast<double>(rule.maxConnections) / roster.fleetSize);
}

double estimatedLoad(const ServiceRoster &service, const RosterUpstream &upstream, std::int64_t nowMs)
{
    return upstream.record->loadAt(nowMs, service.record->load.at(nowMs) * upstream.entry.slots);
}

/// View of @p upstream without its load.
UpstreamView viewOf(const Roster &roster, const ServiceRoster &service, const RosterUpstream &upstream, const SelectionQuery &query)
{
    UpstreamView view;
    view.idHash = upstream.idHash;
    view.slots = upstream.entry.slots;
    view.ramp = rampAt(upstream.joinedAtMs, query.nowMs);
    view.local = upstream.local;
    view.standing = upstream.record->isSuspendedAt(query.nowMs) ? Standing::Suspended : Standing::Sound;
    const bool tried = std::find(query.tried.begin(), query.tried.end(), upstream.idHash) != query.tried.end();
    view.excluded = tried || upstream.entry.leaving || upstream.evacuated || !isHome(*query.route, upstream.region)
        || !isBelowConnectionLimit(roster, service.rule, upstream);
    return view;
}

/// Views of all upstreams. Adds the slots of those that take requests to @p room.
std::vector<UpstreamView> viewsOf(const Roster &roster, const ServiceRoster &service, const SelectionQuery &query, RegionRoom &room)
{
    std::vector<UpstreamView> views;
    views.reserve(service.upstreams.size());
    for (const RosterUpstream &upstream : service.upstreams) {
        views.push_back(viewOf(roster, service, upstream, query));
        const UpstreamView &view = views.back();
        if (!view.excluded && view.standing != Standing::Suspended) {
            (view.local ? room.localSlots : room.remoteSlots) += view.slots;
        }
    }
    return views;
}

bool passRateLimiters(
    const Roster &roster, const ServiceRoster &service, const RosterUpstream &upstream, const SelectionQuery &query, const SelectorBounds &bounds)
{
    if (upstream.record->isColdAt(query.nowMs) && service.rule.coldRequestsPerSecond > 0) {
        const ColdShare share
            = coldShare({service.rule.coldRequestsPerSecond, bounds.coldFactor, bounds.coldSlack}, roster.fleetSize, rankIn(roster.vms, upstream.idHash));
        if (!share.eligible || !upstream.record->coldGate().tryPass(query.nowMs, share.intervalMs)) {
            return false;
        }
    }
    const double silentShare = service.record->silentShare.load(std::memory_order_relaxed);
    return upstream.record->standingAt(silentShare, query.nowMs) != Standing::Probation
        || upstream.record->probationGate().tryPass(query.nowMs, probationIntervalMs);
}

double loadLimit(const RouteRule &route, const ServiceRecord &record)
{
    const int levelsBelowTop = std::max(0, route.priority - record.topPriority.load(std::memory_order_relaxed));
    return std::max(minLoadLimit, hardLimit * (1 - reservePerPriority * levelsBelowTop));
}

double leastLoadPerSlot(const std::vector<UpstreamView> &views)
{
    double least = -1;
    for (const UpstreamView &view : views) {
        if (!view.excluded && view.standing != Standing::Suspended) {
            const double load = view.load / view.slots;
            least = least < 0 ? load : std::min(least, load);
        }
    }
    return std::max(0.0, least);
}

} // namespace

std::string_view toString(SelectionEnd end)
{
    switch (end) {
    case SelectionEnd::Selected:
        return "selected";
    case SelectionEnd::NoUpstream:
        return "no-upstream";
    case SelectionEnd::AllFull:
        return "all-full";
    }
    return "unknown";
}

Selection selectUpstream(const Roster &roster, const ServiceRoster &service, const SelectionQuery &query, const SelectorBounds &bounds, RegionFlow &flow)
{
    RegionRoom room;
    std::vector<UpstreamView> views = viewsOf(roster, service, query, room);
    ChoiceQuery choice;
    choice.keyHash = query.keyHash;
    const double share = service.record->localShare.load(std::memory_order_relaxed);
    choice.localPreference = share < 0 ? 1 : localPreference(share, room);
    choice.hardLimit = loadLimit(*query.route, *service.record);
    const std::vector<std::size_t> order = rankUpstreams(views, choice);
    if (order.empty()) {
        return {SelectionEnd::NoUpstream, nullptr, 0};
    }
    const std::size_t preferredRegion = service.upstreams[order.front()].regionIndex;
    const auto mayUse = [&](std::size_t index) {
        const RosterUpstream &upstream = service.upstreams[index];
        const bool changesRegion = upstream.regionIndex != preferredRegion;
        return (!changesRegion || flow.mayMoveTo(upstream.regionIndex, query.nowMs)) && passRateLimiters(roster, service, upstream, query, bounds);
    };
    const auto loadOf = [&](std::size_t index) { return estimatedLoad(service, service.upstreams[index], query.nowMs); };
    const auto chosen = chooseUpstream(views, order, choice, loadOf, mayUse);
    if (!chosen) {
        return {SelectionEnd::AllFull, nullptr, leastLoadPerSlot(views)};
    }
    const RosterUpstream &upstream = service.upstreams[*chosen];
    flow.count(upstream.regionIndex, query.nowMs);
    return {SelectionEnd::Selected, &upstream, views[*chosen].load / views[*chosen].slots};
}

} // namespace Wasabistair::Steering
