#pragma once

#include <base/clock.h>
#include <base/histogram.h>
#include <callers/router.h>
#include <operators/review.h>
#include <steering/routingtable.h>

#include <atomic>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <utility>

/// The process that runs on an entry VM.
namespace Wasabistair::App {

/// Records the review figures of this process, cumulative within each month.
class Recorder
{
public:
    explicit Recorder(const Base::Clock &clock);

    void record(const std::string &service, const std::string &place, Callers::RequestOutcome outcome, std::int64_t latencyUs);
    /// Adds one headroom sample of every place; call once a second.
    void sampleHeadroom(const Steering::RoutingTable &table);
    /// Follows planned stops that have begun. Returns names of stops that have just been drained.
    std::vector<std::string> followStops(const Steering::RoutingTable &table);
    /// Figures of the present month. Starts empty ones when the month has changed since the last call.
    [[nodiscard]] std::pair<std::string, Operators::Figures> figures();
    [[nodiscard]] std::map<std::string, Operators::StopFigures> stops() const;

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

    [[nodiscard]] std::shared_ptr<PlaceRecord> recordOf(const std::string &service, const std::string &place);

    const Base::Clock &clock_;
    mutable std::shared_mutex mutex_;
    std::string month_;
    std::map<std::pair<std::string, std::string>, std::shared_ptr<PlaceRecord>> places_;
    std::map<std::string, Operators::StopFigures> stops_;
};

} // namespace Wasabistair::App
