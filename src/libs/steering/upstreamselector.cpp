#include "upstreamselector.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A joining upstream takes over its keys within this time: soon enough to help, slowly enough for caches elsewhere.
constexpr double rampMs = 6'000;
constexpr double firstRamp = 0.2;
// Load per slot up to which requests are added; beyond it they would wait longer than a refused caller.
constexpr double hardLimit = 3.4;
// Less urgent requests leave this part of the room to the more urgent ones of the same service.
constexpr double urgentReserve = 0.15;
constexpr double leastUrgentLimit = 1.2;
// Probation lets one request through each interval; all VMs together then send a fraction of a cold upstream's rate.
constexpr std::int64_t probationIntervalMs = 700;
// Connections that this VM may hold of an upstream's limit, times the part that it would get evenly.
constexpr double connectionPart = 3;

double rampAt(std::int64_t joinedAtMs, std::int64_t nowMs)
{
    if (joinedAtMs == 0) {
        return 1;
    }
    return std::clamp(static_cast<double>(nowMs - joinedAtMs) / rampMs, firstRamp, 1.0);
}

bool hasConnectionRoom(const Roster &roster, const ServiceRule &rule, const RosterUpstream &upstream)
{
    return rule.maxConnections <= 0
        || upstream.record->inFlight() < std::max(2.0, connectionPart * static_cast<double>(rule.maxConnections) / roster.fleetSize);
}

double estimatedLoad(const ServiceRoster &service, const RosterUpstream &upstream, std::int64_t nowMs)
{
    return upstream.record->loadAt(nowMs, service.record->load.at(nowMs) * upstream.entry.slots);
}

/// All but the load.
UpstreamView viewOf(const Roster &roster, const ServiceRoster &service, const RosterUpstream &upstream, const SelectionQuery &query)
{
    UpstreamView view;
    view.idHash = upstream.idHash;
    view.slots = upstream.entry.slots;
    view.ramp = rampAt(upstream.joinedAtMs, query.nowMs);
    view.local = upstream.local;
    view.standing = upstream.record->isSuspendedAt(query.nowMs) ? Standing::Suspended : Standing::Sound;
    const bool tried = std::find(query.tried.begin(), query.tried.end(), upstream.idHash) != query.tried.end();
    view.excluded
        = tried || upstream.entry.leaving || upstream.evacuated || !isHome(*query.route, upstream.region) || !hasConnectionRoom(roster, service.rule, upstream);
    return view;
}

/// Views of all upstreams; counts the slots of those that take requests in @p room.
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

bool passGates(const Roster &roster, const ServiceRoster &service, const RosterUpstream &upstream, const SelectionQuery &query, const SelectorBounds &bounds)
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

double limitFor(const RouteRule &route, const ServiceRecord &record)
{
    const int ranksBelow = std::max(0, route.priority - record.topPriority.load(std::memory_order_relaxed));
    return std::max(leastUrgentLimit, hardLimit * (1 - urgentReserve * ranksBelow));
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
    choice.hardLimit = limitFor(*query.route, *service.record);
    const std::vector<std::size_t> order = rankUpstreams(views, choice);
    if (order.empty()) {
        return {SelectionEnd::NoUpstream, nullptr, 0};
    }
    const std::size_t plannedRegion = service.upstreams[order.front()].regionIndex;
    const auto mayUse = [&](std::size_t index) {
        const RosterUpstream &upstream = service.upstreams[index];
        const bool moves = upstream.regionIndex != plannedRegion;
        return (!moves || flow.mayMoveTo(upstream.regionIndex, query.nowMs)) && passGates(roster, service, upstream, query, bounds);
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
