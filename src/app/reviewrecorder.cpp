#include "reviewrecorder.h"

#include <steering/decision.h>

#include <algorithm>
#include <mutex>

namespace Wasabistair::App {

namespace {

constexpr std::uint64_t permille = 1000;

} // namespace

ReviewRecorder::ReviewRecorder(const Base::Clock &clock)
    : clock_(clock)
    , month_(Operators::monthOf(clock.wall()))
{}

std::shared_ptr<ReviewRecorder::PlaceCounters> ReviewRecorder::countersOf(const std::string &service, const std::string &place)
{
    const std::pair key(service, place);
    {
        const std::shared_lock lock(mutex_);
        const auto found = places_.find(key);
        if (found != places_.end()) {
            return found->second;
        }
    }
    const std::unique_lock lock(mutex_);
    auto &record = places_[key];
    if (!record) {
        record = std::make_shared<PlaceCounters>();
    }
    return record;
}

void ReviewRecorder::record(const std::string &service, const std::string &place, Callers::RequestOutcome outcome, std::int64_t latencyUs)
{
    const auto record = countersOf(service, place);
    switch (outcome) {
    case Callers::RequestOutcome::Answered:
        record->answered.fetch_add(1, std::memory_order_relaxed);
        record->latency.record(static_cast<std::uint64_t>(std::max<std::int64_t>(0, latencyUs)));
        return;
    case Callers::RequestOutcome::Refused:
        record->refused.fetch_add(1, std::memory_order_relaxed);
        return;
    case Callers::RequestOutcome::Failed:
        record->failed.fetch_add(1, std::memory_order_relaxed);
        return;
    }
}

void ReviewRecorder::sampleHeadroom(const Steering::RoutingTable &table)
{
    const Base::MonotonicMs now = clock_.monotonic();
    const Base::WallMs wall = clock_.wall();
    for (const Steering::PlaceEntry &place : table.places) {
        std::uint64_t usable = 0;
        std::uint64_t used = 0;
        for (const Steering::ServerEntry &server : place.servers) {
            const std::int64_t units = Steering::usableUnits(table, server, now, wall);
            usable += static_cast<std::uint64_t>(units);
            used += static_cast<std::uint64_t>(std::min(units, server.load->inFlight()));
        }
        if (usable == 0) {
            continue;
        }
        const auto record = countersOf(place.place.service, place.place.name);
        record->usable.fetch_add(usable, std::memory_order_relaxed);
        record->used.fetch_add(used, std::memory_order_relaxed);
        const std::uint64_t peak = used * permille / usable;
        if (peak > record->peak.load(std::memory_order_relaxed)) {
            record->peak.store(peak, std::memory_order_relaxed);
        }
    }
}

PlannedStopChanges ReviewRecorder::updatePlannedStops(const Steering::RoutingTable &table)
{
    const Base::WallMs wall = clock_.wall();
    std::map<std::string, Operators::StopFigures> active;
    for (const Steering::PlaceEntry &place : table.places) {
        for (const Steering::ServerEntry &server : place.servers) {
            for (const Steering::StopWindow &stop : server.stops) {
                if (wall >= stop.start && wall < stop.end) {
                    Operators::StopFigures &figures = active[stop.name];
                    figures.start = stop.start;
                    figures.inFlight += server.load->inFlight();
                }
            }
        }
    }
    PlannedStopChanges changes;
    const std::unique_lock lock(mutex_);
    for (const auto &[name, now] : active) {
        const auto [entry, added] = stops_.try_emplace(name, Operators::StopFigures{now.start, now.start, 0});
        Operators::StopFigures &figures = entry->second;
        if (added) {
            changes.started.push_back(name);
        }
        if (now.inFlight > 0) {
            figures.lastEnd = wall;
        }
        if (now.inFlight == 0 && (figures.inFlight > 0 || added)) {
            changes.drained.push_back(name);
        }
        figures.inFlight = now.inFlight;
    }
    return changes;
}

std::vector<MonthFigures> ReviewRecorder::figures()
{
    const std::string month = Operators::monthOf(clock_.wall());
    const std::unique_lock lock(mutex_);
    if (month != month_) {
        finishedMonth_ = currentMonthFigures();
        monthFinishedAt_ = clock_.monotonic();
        month_ = month;
        places_.clear();
        stops_.clear();
    }
    if (finishedMonth_ && clock_.monotonic() - monthFinishedAt_ >= finishedMonthRetentionMs) {
        finishedMonth_.reset();
    }
    std::vector<MonthFigures> result = {currentMonthFigures()};
    if (finishedMonth_) {
        result.push_back(*finishedMonth_);
    }
    return result;
}

MonthFigures ReviewRecorder::currentMonthFigures()
{
    Operators::Figures figures;
    for (const auto &[key, record] : places_) {
        Operators::PlaceFigures &place = figures.places[key];
        place.latency = record->latency.counts();
        place.answered = record->answered.load(std::memory_order_relaxed);
        place.refused = record->refused.load(std::memory_order_relaxed);
        place.failed = record->failed.load(std::memory_order_relaxed);
        place.usableUnits = record->usable.load(std::memory_order_relaxed);
        place.usedUnits = record->used.load(std::memory_order_relaxed);
        place.peakPermille = record->peak.load(std::memory_order_relaxed);
    }
    figures.stops = stops_;
    // Strictly increasing, even when the wall clock is set back.
    lastAsOf_ = std::max(lastAsOf_ + 1, clock_.wall());
    figures.asOf = lastAsOf_;
    return {month_, figures};
}

std::map<std::string, Operators::StopFigures> ReviewRecorder::stops() const
{
    const std::shared_lock lock(mutex_);
    return stops_;
}

} // namespace Wasabistair::App
