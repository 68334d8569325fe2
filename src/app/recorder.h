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

/// Planned stops that have just begun, and those at whose servers this VM has just nothing more in flight.
struct StopChanges {
    std::vector<std::string> started;
    std::vector<std::string> drained;
};

/// Records the review figures of this process, cumulative within each month.
class Recorder
{
public:
    explicit Recorder(const Base::Clock &clock);

    void record(const std::string &service, const std::string &place, Callers::RequestOutcome outcome, std::int64_t latencyUs);
    /// Adds one headroom sample of every place; call once a second.
    void sampleHeadroom(const Steering::RoutingTable &table);
    /// Follows planned stops that have begun.
    StopChanges followStops(const Steering::RoutingTable &table);
    /// Figures of the present month, which start empty, and for finishedKeepMs after its begin the final
    /// ones of the month before, so that a report lost at the month's end can be repeated.
    [[nodiscard]] std::vector<MonthFigures> figures();
    [[nodiscard]] std::map<std::string, Operators::StopFigures> stops() const;

    static constexpr Base::MonotonicMs finishedKeepMs = 600'000;

private:
    struct PlaceRecord {
        Base::Histogram latency;
        std::atomic<std::uint64_t> answered{0};
        std::atomic<std::uint64_t> refused{0};
        std::atomic<std::uint64_t> failed{0};
        std::atomic<std::uint64_t> usable{0};
        std::atomic<std::uint64_t> used{0};
        std::atomic<std::uint64_t> peak{0};
    };

    [[nodiscard]] MonthFigures present();
    [[nodiscard]] std::shared_ptr<PlaceRecord> recordOf(const std::string &service, const std::string &place);

    const Base::Clock &clock_;
    mutable std::shared_mutex mutex_;
    std::string month_;
    std::map<std::pair<std::string, std::string>, std::shared_ptr<PlaceRecord>> places_;
    std::map<std::string, Operators::StopFigures> stops_;
    Base::WallMs lastAsOf_ = 0;
    std::optional<MonthFigures> finished_;
    Base::MonotonicMs finishedAt_ = 0;
};

} // namespace Wasabistair::App
