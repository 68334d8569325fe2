#include "rejection.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A request waits for at most 1/8 of its latency objective, so that a retry after a rejection can still meet the objective.
constexpr std::int64_t objectiveWaitDivisor = 8;
constexpr std::int64_t maxWaitMs = 60;
// Capacity becomes free within about the duration of one request.
constexpr std::int64_t overloadedRetryMinMs = 120;
constexpr std::int64_t overloadedRetrySpreadMs = 280;
constexpr std::int64_t noUpstreamRetryMinMs = 300;
constexpr std::int64_t noUpstreamRetrySpreadMs = 400;

} // namespace

std::int64_t maxCapacityWaitMs(std::int64_t objectiveMs)
{
    return objectiveMs > 0 ? std::min(maxWaitMs, objectiveMs / objectiveWaitDivisor) : maxWaitMs;
}

std::int64_t retryAfterMs(RejectionReason reason, double jitter, std::int64_t admissionInMs)
{
    const bool overloaded = reason == RejectionReason::Overloaded;
    const auto spread = static_cast<double>(overloaded ? overloadedRetrySpreadMs : noUpstreamRetrySpreadMs);
    const std::int64_t wait = (overloaded ? overloadedRetryMinMs : noUpstreamRetryMinMs) + static_cast<std::int64_t>(jitter * spread);
    return std::min(maxRetryAfterMs, std::max(wait, admissionInMs));
}

} // namespace Wasabistair::Steering
