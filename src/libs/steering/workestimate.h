#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

namespace Wasabistair::Steering {

/// Whether an upstream has handled the affinity key of a request lately, in which case the request takes less time there.
enum class KeyState {
    /// Not told apart.
    Unspecified,
    Known,
    Unknown,
};

constexpr std::size_t keyStateCount = 3;

/// Time that requests take at an upstream, as learned from answers, in ms.
struct WorkEstimate {
    double meanMs = 0;
    /// Mean deviation from the mean.
    double deviationMs = 0;
    /// Number of answers behind the estimate, up to a limit.
    int samples = 0;

    auto operator<=>(const WorkEstimate &) const = default;
};

/// Estimate after one more answer that took @p tookMs; exponentially weighted.
[[nodiscard]] WorkEstimate nextEstimate(const WorkEstimate &estimate, double tookMs);

/// What a request of a route is expected to take at an upstream, in ms.
struct ExpectedWork {
    /// Most requests take less, with the wait in the upstream's queue that was usual lately.
    std::int64_t usualMs = 0;
    /// Few requests take less.
    std::int64_t leastMs = 0;
    /// Without a wait in the upstream's queue.
    std::int64_t unqueuedMs = 0;

    auto operator<=>(const ExpectedWork &) const = default;
};

/// Estimates by route for one service. Bounded memory: routes whose hashes fall on the same entry replace each other. Not thread-safe.
class WorkEstimates
{
public:
    /// Records an answer after @p tookMs of an upstream that had @p loadPerSlot when the request was sent to it.
    void record(std::uint64_t routeHash, KeyState key, double tookMs, double loadPerSlot);
    /// Records the time that a caller of the route gives at its first or a later attempt, in ms. Returns whether it is clearly less than usual, as
    /// that of a caller who was refused before and returns.
    [[nodiscard]] bool recordBudget(std::uint64_t routeHash, std::int64_t budgetMs);
    /// What a request of the route is expected to take. Without an answer yet, it is expected to take its objective, @p objectiveMs.
    [[nodiscard]] ExpectedWork expected(std::uint64_t routeHash, KeyState key, std::int64_t objectiveMs) const;

private:
    struct Entry {
        std::uint64_t routeHash = 0;
        /// Largest time that callers gave lately; fades towards smaller ones.
        double usualBudgetMs = 0;
        std::array<WorkEstimate, keyStateCount> queued;
        std::array<WorkEstimate, keyStateCount> unqueued;
    };

    [[nodiscard]] Entry &entryOf(std::uint64_t routeHash);

    static constexpr std::size_t maxRoutes = 64;
    std::array<Entry, maxRoutes> entries_{};
};

} // namespace Wasabistair::Steering
