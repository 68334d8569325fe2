#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Discrete-event simulation of callers, entry VMs and upstreams. It runs the production code that selects upstreams and
/// records their load and health; network, caches, queues and callers are simulated.
namespace Wasabistair::Model {

/// Value of an answer after the latency objective; an answer in time has the value 1 (as in the users' evaluation).
constexpr double lateAnswerValue = 0.2;

/// Disturbance of the load or of the upstreams.
enum class Pattern {
    Calm,
    /// The request rate rises by half for the middle third of the run.
    Crowd,
    /// After a third of the run, an eighth of the upstreams refuse connections; their registrations expire 2 s later.
    Crash,
    /// An eighth of the upstreams take four times as long for the middle third of the run.
    Slow,
    /// After a third of the run, the number of upstreams grows by a quarter; the new ones start with empty caches.
    Join,
};

constexpr int patternCount = 5;
[[nodiscard]] std::string_view toString(Pattern pattern);
/// Returns false if @p text isn't the name of a pattern.
[[nodiscard]] bool parsePattern(std::string_view text, Pattern &pattern);

/// One service and its callers. The defaults describe the order ledger of the agency deployment, with 12 VMs.
struct Scenario {
    int vms = 12;
    int upstreams = 24;
    int slots = 4;
    /// Queue length of an upstream; it rejects further requests before execution.
    int queue = 24;
    double requestsPerSecond = 551;
    /// Mean service time of a request whose object isn't in the upstream's cache, in ms; a third of that on a cache hit.
    std::int64_t serviceTimeMs = 240;
    int objects = 2'400;
    /// Number of objects that one upstream caches.
    int cacheCapacity = 200;
    std::int64_t objectiveMs = 200;
    std::int64_t deadlineMs = 1'200;
    std::int64_t durationMs = 18'000;
    Pattern pattern = Pattern::Calm;

    auto operator<=>(const Scenario &) const = default;
};

/// The order ledger of the agency deployment after its growth: 68 VMs, 126 upstreams.
[[nodiscard]] Scenario grownFleetScenario();

/// A way to select upstreams; the experiment compares several.
struct Policy {
    std::string name;
    /// Whether the affinity key determines the order of upstreams; otherwise the order is random for each request.
    bool affinity = true;
    /// Whether upstreams without a recent load report are assumed to have their service's mean load; otherwise they count as idle.
    bool usesServiceMeanLoad = true;

    auto operator<=>(const Policy &) const = default;
};

/// All policies that the experiment compares; the last one is what the production code does.
[[nodiscard]] std::vector<Policy> comparedPolicies();

struct Result {
    int requests = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    std::int64_t medianMs = 0;
    /// Mean value of a request in the worst window of 2 s.
    double worstWindow = 1;

    /// Mean value of a request.
    [[nodiscard]] double value() const;

    auto operator<=>(const Result &) const = default;
};

/// Runs the simulation; deterministic for a given @p seed.
[[nodiscard]] Result runModel(const Scenario &scenario, const Policy &policy, std::uint64_t seed);

} // namespace Wasabistair::Model
