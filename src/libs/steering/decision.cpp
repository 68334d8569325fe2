#include "decision.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

/// SplitMix64 step; source: Steele et al., "Fast Splittable Pseudorandom Number Generators", OOPSLA 2014.
std::uint64_t nextRandom(std::uint64_t &state)
{
    state += 0x9e3779b97f4a7c15U;
    std::uint64_t z = state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31);
}

class Decider
{
public:
    Decider(const RoutingTable &table, const DecisionInput &input)
        : table_(table)
        , input_(input)
        , random_(input.random)
    {}

    Decision run()
    {
        const ServiceEntry &service = table_.services[input_.service];
        const auto order = service.placesByRegion.find(input_.region);
        if (order == service.placesByRegion.end() || order->second.empty()) {
            return failed(RoutingFailure::NoPlace);
        }
        if (!table_.slot) {
            return failed(RoutingFailure::NoSlot);
        }
        for (const std::uint16_t place : order->second) {
            if (tryPlace(service, order->second.front(), place)) {
                return decision_;
            }
        }
        return failed(RoutingFailure::NoHeadroom);
    }

private:
    static Decision failed(RoutingFailure reason)
    {
        return Decision{reason, 0, 0, std::nullopt};
    }

    /// @p nearest is the place that the request would go to without shifts and with free capacity everywhere.
    bool tryPlace(const ServiceEntry &service, std::uint16_t nearest, std::uint16_t place)
    {
        if (place != nearest) {
            return trySpill(service, nearest, place);
        }
        const ShiftEntry *shift = activeShift(service, place);
        if (shift && tryMove(*shift)) {
            return true;
        }
        if (!tryAcquire(place)) {
            return false;
        }
        if (shift) {
            shift->counters->share.countStay(input_.now);
            shift->counters->stayedTotal.fetch_add(1, std::memory_order_relaxed);
        }
        return true;
    }

    bool trySpill(const ServiceEntry &service, std::uint16_t nearest, std::uint16_t place)
    {
        const ShiftEntry *shift = activeShift(service, nearest);
        if (shift && shift->shift.countSpill && shift->to == place) {
            return tryMove(*shift);
        }
        return tryAcquire(place);
    }

    const ShiftEntry *activeShift(const ServiceEntry &service, std::uint16_t from) const
    {
        for (const ShiftEntry &shift : service.shifts) {
            if (shift.from == from && isActive(shift.shift, input_.wall)) {
                return &shift;
            }
        }
        return nullptr;
    }

    bool tryMove(const ShiftEntry &shift)
    {
        if (!reserveMove(shift)) {
            return false;
        }
        if (!tryAcquire(shift.to)) {
            undoMove(shift);
            return false;
        }
        shift.counters->movedTotal.fetch_add(1, std::memory_order_relaxed);
        decision_.shift = shift.shift.name;
        return true;
    }

    bool reserveMove(const ShiftEntry &shift) const
    {
        if (shift.shift.capRequestsPerSecond > 0) {
            return shift.counters->rate.tryMove(rampedCap(shift.shift, shift.rateLimit, input_.wall), input_.now);
        }
        return shift.counters->share.tryMove(rampedCap(shift.shift, shift.shift.capPermille, input_.wall), input_.now);
    }

    void undoMove(const ShiftEntry &shift) const
    {
        if (shift.shift.capRequestsPerSecond > 0) {
            shift.counters->rate.undoMove(input_.now);
        } else {
            shift.counters->share.undoMove(input_.now);
        }
    }

    bool tryAcquire(std::uint16_t place)
    {
        const PlaceEntry &entry = table_.places[place];
        if (entry.servers.empty() || isLinkBusy(entry)) {
            return false;
        }
        decision_.place = place;
        if (tryTwoChoices(entry)) {
            return true;
        }
        const std::size_t count = entry.servers.size();
        const std::size_t start = nextRandom(random_) % count;
        for (std::size_t i = 0; i < count; ++i) {
            if (tryServer(entry, static_cast<std::uint32_t>((start + i) % count))) {
                return true;
            }
        }
        return false;
    }

    bool isLinkBusy(const PlaceEntry &entry) const
    {
        return entry.uploadLink && std::max(entry.uploadLink->backlogMs(input_.now), entry.answerLink->backlogMs(input_.now)) > maxLinkBacklogMs;
    }

    bool tryTwoChoices(const PlaceEntry &entry)
    {
        const std::size_t count = entry.servers.size();
        const auto one = static_cast<std::uint32_t>(nextRandom(random_) % count);
        const auto two = static_cast<std::uint32_t>(nextRandom(random_) % count);
        const bool secondIsFreer = freeUnits(entry.servers[two]) > freeUnits(entry.servers[one]);
        return tryServer(entry, secondIsFreer ? two : one);
    }

    std::int64_t freeUnits(const ServerEntry &server) const
    {
        return usableUnits(table_, server, input_.now, input_.wall) - server.load->inFlight();
    }

    bool tryServer(const PlaceEntry &entry, std::uint32_t index)
    {
        const ServerEntry &server = entry.servers[index];
        if (isExcluded(server) || !server.load->tryAcquire(usableUnits(table_, server, input_.now, input_.wall))) {
            return false;
        }
        decision_.server = index;
        return true;
    }

    bool isExcluded(const ServerEntry &server) const
    {
        if (!input_.excludedServers) {
            return false;
        }
        const auto &excluded = *input_.excludedServers;
        return std::find(excluded.begin(), excluded.end(), server.vm.id) != excluded.end();
    }

    const RoutingTable &table_;
    const DecisionInput &input_;
    std::uint64_t random_;
    Decision decision_;
};

} // namespace

bool isStopped(const ServerEntry &server, WallMs wall)
{
    for (const StopWindow &stop : server.stops) {
        if (wall >= stop.start - stopLeadMs && wall < stop.end) {
            return true;
        }
    }
    return false;
}

std::int64_t usableUnits(const RoutingTable &table, const ServerEntry &server, MonotonicMs now, WallMs wall)
{
    std::int64_t units = server.units;
    if (now < table.holdUntil) {
        units = std::min(units, server.unitsBefore);
    }
    if (units == 0 || server.vm.state == VmState::Leaving || server.load->isBlocked(now) || server.load->isLeaving(now) || isStopped(server, wall)) {
        return 0;
    }
    units = coldStartUnits(units, wall - server.vm.since, server.coldStartMs);
    const std::int64_t scale = server.load->scalePermille(now);
    return (units * scale + ServerLoad::fullScale - 1) / ServerLoad::fullScale;
}

Decision decide(const RoutingTable &table, const DecisionInput &input)
{
    return Decider(table, input).run();
}

} // namespace Wasabistair::Steering
