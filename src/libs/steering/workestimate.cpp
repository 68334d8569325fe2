#include "workestimate.h"

#include <algorithm>
#include <cmath>

namespace Wasabistair::Steering {

namespace {

// Averages over about the last 20 answers; the first ones are averaged evenly.
constexpr int maxSamples = 20;
// Few requests of a route take less than its mean by more than this multiple of the mean deviation.
constexpr double leastWorkDeviations = 2;
// The usual budget falls to a smaller one within some hundred requests.
constexpr double budgetFadeWeight = 0.01;
// A caller who waits before it returns has less than this part of its time left.
constexpr double returningBudgetPart = 0.95;

} // namespace

WorkEstimate nextEstimate(const WorkEstimate &estimate, double tookMs)
{
    WorkEstimate next = estimate;
    next.samples = std::min(maxSamples, estimate.samples + 1);
    const double weight = 1.0 / next.samples;
    const double difference = tookMs - estimate.meanMs;
    next.meanMs += weight * difference;
    next.deviationMs += estimate.samples == 0 ? 0 : weight * (std::abs(difference) - estimate.deviationMs);
    return next;
}

WorkEstimates::Entry &WorkEstimates::entryOf(std::uint64_t routeHash)
{
    Entry &entry = entries_[routeHash % maxRoutes];
    if (entry.routeHash != routeHash) {
        entry = {routeHash, 0, {}, {}};
    }
    return entry;
}

bool WorkEstimates::recordBudget(std::uint64_t routeHash, std::int64_t budgetMs)
{
    double &usual = entryOf(routeHash).usualBudgetMs;
    const auto budget = static_cast<double>(budgetMs);
    usual = std::max(budget, usual + budgetFadeWeight * (budget - usual));
    return budget < returningBudgetPart * usual;
}

void WorkEstimates::record(std::uint64_t routeHash, KeyState key, double tookMs, double loadPerSlot)
{
    Entry &entry = entryOf(routeHash);
    const auto index = static_cast<std::size_t>(key);
    entry.queued[index] = nextEstimate(entry.queued[index], tookMs);
    // Requests of an upstream with n times as many as slots take n times as long.
    entry.unqueued[index] = nextEstimate(entry.unqueued[index], tookMs / std::max(1.0, loadPerSlot));
}

ExpectedWork WorkEstimates::expected(std::uint64_t routeHash, KeyState key, std::int64_t objectiveMs) const
{
    const Entry &entry = entries_[routeHash % maxRoutes];
    const WorkEstimate &queued = entry.queued[static_cast<std::size_t>(key)];
    const WorkEstimate &unqueued = entry.unqueued[static_cast<std::size_t>(key)];
    if (entry.routeHash != routeHash || queued.samples == 0) {
        return {objectiveMs, 0, objectiveMs};
    }
    const double least = std::max(0.0, unqueued.meanMs - leastWorkDeviations * unqueued.deviationMs);
    return {static_cast<std::int64_t>(queued.meanMs + queued.deviationMs), static_cast<std::int64_t>(least), static_cast<std::int64_t>(unqueued.meanMs)};
}

} // namespace Wasabistair::Steering
