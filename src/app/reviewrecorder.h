#pragma once

#include <base/clock.h>
#include <base/histogram.h>
#include <callers/router.h>
#include <operators/review.h>
#include <steering/routingtable.h>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <string>
#include <utility>
#include <vector>

/// The process that runs on an entry VM.
namespace Wasabistair::App {

/// Cumulative figures of this process in one month.
struct MonthFigures {
    std::string month;
    Operators::Figures figures;

    bool operator==(const MonthFigures &) const = default;
};

/// Planned stops that have started, and those at whose servers this VM has no more requests in flight, since the last update.
struct PlannedStopChanges {
    std::vector<std::string> started;
    std::vector<std::string> drained;
};

/// Records the review figures of this process: requests, latency, headroom and planned stops, cumulative within each month.
class ReviewRecorder
{
public:
    explicit ReviewRecorder(const Base::Clock &clock);

    void record(const std::string &service, const std::string &place, Callers::RequestOutcome outcome, std::int64_t latencyUs);
    /// Adds one headroom sample of every place. Must be called once a second.
    void sampleHeadroom(const Steering::RoutingTable &table);
    /// Updates the figures of planned stops in progress and returns what changed since the last call.
    PlannedStopChanges updatePlannedStops(const Steering::RoutingTable &table);
    /// Figures of the current month, which start empty. For some minutes after its start the final figures of the
    /// month before follow, so that a report that was lost at the end of the month can be repeated.
    [[nodiscard]] std::vector<MonthFigures> figures();
    [[nodiscard]] std::map<std::string, Operators::StopFigures> stops() const;

    /// Time for which the figures of the previous month are still returned.
    static constexpr Base::MonotonicMs finishedMonthRetentionMs = 600'000;

private:
    struct PlaceCounters {
        Base::Histogram latency;
        std::atomic<std::uint64_t> answered{0};
        std::atomic<std::uint64_t> refused{0};
        std::atomic<std::uint64_t> failed{0};
        std::atomic<std::uint64_t> usable{0};
        std::atomic<std::uint64_t> used{0};
        std::atomic<std::uint64_t> peak{0};
    };

    [[nodiscard]] MonthFigures currentMonthFigures();
    [[nodiscard]] std::shared_ptr<PlaceCounters> countersOf(const std::string &service, const std::string &place);

    const Base::Clock &clock_;
    mutable std::shared_mutex mutex_;
    std::string month_;
    std::map<std::pair<std::string, std::string>, std::shared_ptr<PlaceCounters>> places_;
    std::map<std::string, Operators::StopFigures> stops_;
    Base::WallMs lastAsOf_ = 0;
    std::optional<MonthFigures> finishedMonth_;
    Base::MonotonicMs monthFinishedAt_ = 0;
};

} // namespace Wasabistair::App
