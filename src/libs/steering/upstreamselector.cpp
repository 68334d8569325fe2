#include "upstreamselector.h"

#include "finishselection.h"

#include <algorithm>
#include <optional>

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

bool isBelowConnectionLimit(const RoutingSnapshot &snapshot, const ServiceRule &rule, const UpstreamSnapshot &upstream)
{
    return rule.maxConnections <= 0
        || upstream.record->inFlight() < std::max(2.0, connectionShareFactor * static_cast<double>(rule.maxConnections) / snapshot.fleetSize);
}

/// The upstreams of a service, as one request sees them.
struct Candidates {
    /// One for each upstream, without its load.
    std::vector<UpstreamView> views;
    /// Slots of the upstreams that take requests.
    RegionCapacity capacity;
    /// Number of upstreams that asked for a pause.
    int pausing = 0;
};

/// Whether the registration, the upstream's leaving, the route or the limit on connections forbid any request of @p query to @p upstream now.
bool isUnavailable(const RoutingSnapshot &snapshot, const ServiceSnapshot &service, const UpstreamSnapshot &upstream, const SelectionQuery &query)
{
    return !isOpen(upstream, query.nowMs) || !isHomeRegion(query.rules, upstream.region) || !isBelowConnectionLimit(snapshot, service.rule, upstream);
}

bool wasAttempted(const SelectionQuery &query, const UpstreamSnapshot &upstream)
{
    return std::find(query.attempted.begin(), query.attempted.end(), upstream.idHash) != query.attempted.end();
}

Candidates findCandidates(const RoutingSnapshot &snapshot, const ServiceSnapshot &service, const SelectionQuery &query)
{
    Candidates candidates;
    candidates.views.reserve(service.upstreams.size());
    for (const UpstreamSnapshot &upstream : service.upstreams) {
        const bool pauses = upstream.record->requestedPause().isInForceAt(query.nowMs);
        UpstreamView view;
        view.idHash = upstream.idHash;
        view.slots = upstream.entry.slots;
        view.ramp = rampAt(upstream.joinedAtMs, query.nowMs);
        view.local = upstream.local;
        view.healthState = upstream.record->isEjectedAt(query.nowMs) ? HealthState::Ejected : HealthState::Healthy;
        view.excluded = pauses || wasAttempted(query, upstream) || isUnavailable(snapshot, service, upstream, query);
        candidates.views.push_back(view);
        candidates.pausing += pauses ? 1 : 0;
        if (!view.excluded && view.healthState != HealthState::Ejected) {
            (view.local ? candidates.capacity.localSlots : candidates.capacity.remoteSlots) += view.slots;
        }
    }
    return candidates;
}

bool passRateLimiters(const RoutingSnapshot &snapshot, const ServiceSnapshot &service, const UpstreamSnapshot &upstream, const SelectionQuery &query,
    const SelectorLimits &bounds)
{
    if (upstream.record->isColdAt(query.nowMs) && service.rule.coldRequestsPerSecond > 0) {
        const ColdStartShare share = coldStartShare(
            {service.rule.coldRequestsPerSecond, bounds.coldFactor, bounds.coldSlack}, snapshot.fleetSize, rendezvousRank(snapshot.vms, upstream.idHash));
        if (!share.eligible || !upstream.record->coldStartLimiter().tryAcquire(query.nowMs, share.intervalMs)) {
            return false;
        }
    }
    const double timeoutRate = service.record->timeoutRate.load(std::memory_order_relaxed);
    return upstream.record->healthStateAt(timeoutRate, query.nowMs) != HealthState::Probation
        || upstream.record->probationLimiter().tryAcquire(query.nowMs, probationIntervalMs);
}

LimitShare ownLimitShare(const RoutingSnapshot &snapshot, const UpstreamSnapshot &upstream, double requestsPerSecond)
{
    return limitShare(requestsPerSecond, snapshot.fleetSize, rendezvousRank(snapshot.vms, upstream.idHash));
}

bool passAnnouncedLimit(const RoutingSnapshot &snapshot, const UpstreamSnapshot &upstream, std::int64_t nowMs)
{
    AnnouncedLimit &limit = upstream.record->announcedLimit();
    const auto rate = limit.requestsPerSecond();
    return !rate || limit.tryAcquire(ownLimitShare(snapshot, upstream, *rate), nowMs);
}

/// See Selection::admissionInMs.
std::int64_t timeUntilAdmission(const RoutingSnapshot &snapshot, const ServiceSnapshot &service, const SelectionQuery &query)
{
    std::optional<std::int64_t> earliest;
    for (const UpstreamSnapshot &upstream : service.upstreams) {
        const std::int64_t pauseLeft = upstream.record->requestedPause().remainingMs(query.nowMs);
        // After its pause, an upstream that turned this request away may take the caller's next one.
        const bool isOut = upstream.record->isEjectedAt(query.nowMs) || (pauseLeft == 0 && wasAttempted(query, upstream));
        if (isOut || isUnavailable(snapshot, service, upstream, query)) {
            continue;
        }
        const AnnouncedLimit &limit = upstream.record->announcedLimit();
        const auto rate = limit.requestsPerSecond();
        const std::int64_t limitWait = rate ? limit.timeUntilAdmission(ownLimitShare(snapshot, upstream, *rate), query.nowMs) : 0;
        const std::int64_t wait = std::max(limitWait, pauseLeft);
        if (wait == 0) {
            return 0;
        }
        earliest = std::min(wait, earliest.value_or(wait));
    }
    return earliest.value_or(0);
}

double loadLimit(const SelectionQuery &query, const ServiceRecord &record)
{
    const int levelsBelowTop = std::max(0, priorityOf(query.rules) - record.topPriority.load(std::memory_order_relaxed));
    return std::max(minLoadLimit, std::min(query.maxLoadPerSlot, hardLimit * (1 - reservePerPriority * levelsBelowTop)));
}

double leastLoadPerSlot(const std::vector<UpstreamView> &views)
{
    double least = -1;
    for (const UpstreamView &view : views) {
        if (!view.excluded && view.healthState != HealthState::Ejected) {
            const double load = view.load / view.slots;
            least = least < 0 ? load : std::min(least, load);
        }
    }
    return std::max(0.0, least);
}

} // namespace

std::string_view toString(SelectionOutcome end)
{
    switch (end) {
    case SelectionOutcome::Selected:
        return "selected";
    case SelectionOutcome::NoUpstream:
        return "no-upstream";
    case SelectionOutcome::AllOverloaded:
        return "all-full";
    }
    return "unknown";
}

Selection selectUpstream(const RoutingSnapshot &snapshot, const ServiceSnapshot &service, const SelectionQuery &query, const SelectorLimits &bounds,
    RegionShiftLimiter &regionShiftLimiter)
{
    auto [views, capacity, pausing] = findCandidates(snapshot, service, query);
    ChoiceQuery choice;
    choice.keyHash = query.keyHash;
    const double share = service.record->localShare.load(std::memory_order_relaxed);
    choice.localPreference = share < 0 ? 1 : localPreference(share, capacity);
    choice.hardLimit = loadLimit(query, *service.record);
    const bool byFinish = isPlacedByFinish(bounds.placement, service);
    FinishOrder places;
    if (byFinish) {
        places = orderPlaces(
            service, views, {query.keyHash, query.rules.route == nullptr ? 0 : query.rules.route->objectiveMs, snapshot.vms.self, query.hasKey, query.nowMs});
    }
    const std::vector<std::size_t> order = byFinish ? places.order : rankUpstreams(views, choice);
    if (order.empty()) {
        const std::int64_t admissionInMs = pausing > 0 ? timeUntilAdmission(snapshot, service, query) : 0;
        return {admissionInMs > 0 ? SelectionOutcome::AllOverloaded : SelectionOutcome::NoUpstream, nullptr, 0, 0, pausing, admissionInMs};
    }
    const std::size_t preferredRegion = service.upstreams[byFinish ? places.home : order.front()].regionIndex;
    int heldBack = 0;
    const auto mayUse = [&](std::size_t index) {
        const UpstreamSnapshot &upstream = service.upstreams[index];
        const bool changesRegion = upstream.regionIndex != preferredRegion;
        if ((changesRegion && !regionShiftLimiter.allowsShiftTo(upstream.regionIndex, query.nowMs))
            || !passRateLimiters(snapshot, service, upstream, query, bounds)) {
            return false;
        }
        const bool passes = passAnnouncedLimit(snapshot, upstream, query.nowMs);
        heldBack += passes ? 0 : 1;
        return passes;
    };
    const auto loadOf = [&](std::size_t index) { return estimatedLoad(service, service.upstreams[index], byFinish, query.nowMs); };
    const auto chosen = byFinish ? chooseByFinish(views, order, choice, loadOf, mayUse) : chooseUpstream(views, order, choice, loadOf, mayUse);
    if (!chosen) {
        return {SelectionOutcome::AllOverloaded, nullptr, leastLoadPerSlot(views), heldBack, pausing, timeUntilAdmission(snapshot, service, query)};
    }
    const UpstreamSnapshot &upstream = service.upstreams[*chosen];
    regionShiftLimiter.count(upstream.regionIndex, query.nowMs);
    const KeyKnowledge knowledge = places.knowledgeOf(*chosen);
    return {SelectionOutcome::Selected, &upstream, views[*chosen].load / views[*chosen].slots, heldBack, pausing, 0, knowledge};
}

} // namespace Wasabistair::Steering
