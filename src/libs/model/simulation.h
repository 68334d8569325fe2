#pragma once

#include "model.h"
#include "modelupstream.h"

#include <steering/routingsnapshot.h>
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

/// Virtual time at the start, in ms; far from 0, which upstream records interpret as "never".
constexpr std::int64_t startMs = 1'000'000;

enum class EventType {
    Dispatch,
    Arrive,
    Finish,
    Deadline,
    PatternStart,
    PatternEnd,
    RegistryUpdate,
};

struct Event {
    std::int64_t atMs = 0;
    std::uint64_t sequence = 0;
    EventType type = EventType::Dispatch;
    int subject = 0;

    bool operator>(const Event &other) const
    {
        return std::pair(atMs, sequence) > std::pair(other.atMs, other.sequence);
    }
};

struct Request {
    int vm = 0;
    int object = 0;
    std::int64_t arrivedMs = 0;
    std::int64_t waitedMs = 0;
    int attempts = 0;
    bool wasRejectedOnce = false;
    bool isDone = false;
    /// Index of the upstream of the current attempt; -1 for none.
    int upstream = -1;
    std::shared_ptr<Steering::UpstreamRecord> record;
    std::vector<std::uint64_t> attemptedUpstreams;
};

struct Vm {
    explicit Vm(int index)
        : builder({"vm-" + std::to_string(index), "a", "north", {{"a", "north"}}})
    {}

    Steering::RoutingSnapshotBuilder builder;
    std::shared_ptr<const Steering::RoutingSnapshot> snapshot;
    /// With a single region, no traffic shifts between regions.
    Steering::RegionShiftLimiter regionShiftLimiter{1, 2'000};
};

/// One simulation run; handles events in the order of their virtual time.
class Simulation
{
public:
    Simulation(const Scenario &scenario, const Policy &policy, std::uint64_t seed);
    [[nodiscard]] Result run();

private:
    /// Random number, uniform in [0, 1).
    [[nodiscard]] double uniform();
    /// Adds an event @p delayMs from now; @p subject is the number of a request, or 0 for events without one.
    void schedule(std::int64_t delayMs, EventType type, int subject);
    void addUpstream();
    void buildPopularity();
    [[nodiscard]] int drawObject();
    [[nodiscard]] bool isCrowdActive(std::int64_t sinceStartMs) const;
    /// Schedules all requests as a Poisson process at the pattern's rate.
    void scheduleRequests();
    void handle(const Event &event);
    /// Rebuilds the routing snapshots of all VMs from the registry.
    void rebuildSnapshots();
    void startPattern();
    void endPattern();
    /// The request's VM selects an upstream, lets the request wait for free capacity or rejects it.
    void dispatch(int number);
    /// Rejects the request. The caller retries once, after the randomized delay that the production code asks for.
    void reject(int number);
    void endAttempt(Request &request, Steering::AttemptOutcome outcome, const std::optional<Steering::ReportedLoad> &load);
    void retryOrReject(int number);
    void arrive(int number);
    void startQueuedRequests(int index);
    void finish(int number);
    void endAtDeadline(int number);
    [[nodiscard]] Result result();

    const Scenario scenario_;
    const Policy policy_;
    std::mt19937_64 random_;
    const Steering::RouteRule route_;
    Steering::RoutingSnapshotSources sources_;
    std::vector<std::unique_ptr<ModelUpstream>> upstreams_;
    std::map<std::string, int> indexOf_;
    std::vector<std::unique_ptr<Vm>> vms_;
    /// Cumulative sums of the objects' popularity.
    std::vector<double> cumulativePopularity_;
    std::vector<Request> requests_;
    /// Index of the upstream that runs each started request.
    std::unordered_map<int, int> runningAt_;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::int64_t nowMs_ = startMs;
    std::uint64_t sequence_ = 0;
    std::vector<std::int64_t> latencies_;
    /// Sum of the answers' values, by the window in which their requests arrived.
    std::map<std::int64_t, double> valueByWindow_;
    Result result_;
};

} // namespace Wasabistair::Model::Internal
