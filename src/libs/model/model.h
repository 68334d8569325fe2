#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// A model of callers, entry VMs and upstreams in virtual time. It runs the product's own choice of upstreams and its
/// records; network, caches, queues and callers are modelled.
namespace Wasabistair::Model {

/// Worth of a late answer; one in time is worth 1 (the users' sheets).
constexpr double lateValue = 0.2;

/// What happens to the load or to the upstreams.
enum class Pattern {
    Calm,
    /// Half as many requests again for a third of the time.
    Crowd,
    /// An eighth of the upstreams refuse connections from a third of the time on; the registry drops them 2 s later.
    Crash,
    /// An eighth of the upstreams take four times as long for a third of the time.
    Slow,
    /// A quarter more upstreams join, without knowing any object.
    Join,
};

constexpr int patternCount = 5;
[[nodiscard]] std::string_view toString(Pattern pattern);
/// False when @p text names no pattern.
[[nodiscard]] bool parsePattern(std::string_view text, Pattern &pattern);

/// One service and its callers. The defaults are the agency's order ledger on 12 VMs.
struct Plan {
    int vms = 12;
    int upstreams = 24;
    int slots = 4;
    /// Requests that an upstream lets wait; it refuses more as not run.
    int queue = 24;
    double requestsPerSecond = 551;
    /// Time of one request at an upstream that doesn't know its object, in ms; a third at one that does.
    std::int64_t workMs = 240;
    int objects = 2'400;
    /// Objects that one upstream remembers.
    int remembered = 200;
    std::int64_t objectiveMs = 200;
    std::int64_t deadlineMs = 1'200;
    std::int64_t durationMs = 18'000;
    Pattern pattern = Pattern::Calm;

    auto operator<=>(const Plan &) const = default;
};

/// The order ledger of the grown agency: 68 VMs, 126 upstreams.
[[nodiscard]] Plan grownPlan();

/// What is compared.
struct Policy {
    std::string name;
    /// Keys decide the order of upstreams; otherwise each request draws its own.
    bool affinity = true;
    /// Upstreams not heard of lately count with their service's mean load; otherwise as idle.
    bool serviceMean = true;

    auto operator<=>(const Policy &) const = default;
};

/// The ways that were weighed, the product's own last.
[[nodiscard]] std::vector<Policy> knownPolicies();

struct Result {
    int requests = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    std::int64_t medianMs = 0;
    /// Value of the worst window of 2 s.
    double worstWindow = 1;

    /// Mean worth of a request.
    [[nodiscard]] double value() const;

    auto operator<=>(const Result &) const = default;
};

/// The same for the same seed.
[[nodiscard]] Result runModel(const Plan &plan, const Policy &policy, std::uint64_t seed);

} // namespace Wasabistair::Model
