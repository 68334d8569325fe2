#pragma once

#include "model.h"
#include "modelupstream.h"

#include <steering/roster.h>
#include <steering/upstreamselector.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Wasabistair::Model::Internal {

/// Virtual time at the start, in ms; far from 0, which the records take for "never".
constexpr std::int64_t startMs = 1'000'000;

enum class Step {
    Dispatch,
    Arrive,
    Finish,
    Deadline,
    Change,
    Restore,
    News,
};

struct Event {
    std::int64_t atMs = 0;
    std::uint64_t order = 0;
    Step step = Step::Dispatch;
    int subject = 0;

    bool operator>(const Event &other) const
    {
        return std::pair(atMs, order) > std::pair(other.atMs, other.order);
    }
};

struct Request {
    int vm = 0;
    int object = 0;
    std::int64_t askedMs = 0;
    std::int64_t waitedMs = 0;
    int tries = 0;
    bool hasReturned = false;
    bool isOver = false;
    /// Upstream that has it, -1 for none.
    int upstream = -1;
    std::shared_ptr<Steering::UpstreamRecord> record;
    std::vector<std::uint64_t> tried;
};

struct Vm {
    explicit Vm(int index)
        : builder({"vm-" + std::to_string(index), "a", "north", {{"a", "north"}}})
    {}

    Steering::RosterBuilder builder;
    std::shared_ptr<const Steering::Roster> roster;
    /// One region: nothing moves.
    Steering::RegionFlow flow{1, 2'000};
};

/// One run; plays events in the order of their time.
class Simulation
{
public:
    Simulation(const Plan &plan, const Policy &policy, std::uint64_t seed);
    [[nodiscard]] Result run();

private:
    /// Evenly in [0, 1).
    [[nodiscard]] double uniform();
    /// Adds an event @p delayMs from now; @p subject is a request or nothing.
    void at(std::int64_t delayMs, Step step, int subject);
    void addUpstream();
    void drawObjects();
    [[nodiscard]] int drawObject();
    [[nodiscard]] bool isCrowded(std::int64_t sinceStartMs) const;
    /// Draws all requests: independent callers at the pattern's rate.
    void ask();
    void play(const Event &event);
    /// All VMs rebuild their rosters from the registry.
    void takeNews();
    void change();
    void restore();
    /// The request's VM chooses an upstream, waits or refuses.
    void dispatch(int number);
    /// The caller comes back once, spread as the product asks it to.
    void refuse(int number);
    void endTry(Request &request, Steering::TryOutcome outcome, const std::optional<Steering::ReportedLoad> &load);
    void tryAgain(int number);
    void arrive(int number);
    void startWork(int index);
    void finish(int number);
    void endAtDeadline(int number);
    [[nodiscard]] Result result();

    const Plan plan_;
    const Policy policy_;
    std::mt19937_64 random_;
    const Steering::RouteRule route_;
    Steering::RosterSources sources_;
    std::vector<std::unique_ptr<ModelUpstream>> upstreams_;
    std::map<std::string, int> indexOf_;
    std::vector<std::unique_ptr<Vm>> vms_;
    /// Sums of the objects' popularity.
    std::vector<double> popular_;
    std::vector<Request> requests_;
    /// Upstream of each request that was started.
    std::unordered_map<int, int> runningAt_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::int64_t nowMs_ = startMs;
    std::uint64_t order_ = 0;
    std::vector<std::int64_t> latencies_;
    /// Value earned by the requests asked in each window.
    std::map<std::int64_t, double> windows_;
    Result result_;
};

} // namespace Wasabistair::Model::Internal
