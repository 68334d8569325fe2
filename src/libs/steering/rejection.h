#pragma once

#include <cstdint>

/// How long a request waits for free upstream capacity, and after which time a rejected caller is asked to retry.
namespace Wasabistair::Steering {

/// Why a request is rejected before execution.
enum class RejectionReason {
    /// All upstreams that accept requests are at their limit.
    Overloaded,
    /// No upstream accepts requests, or this VM cannot serve.
    NoUpstream,
};

/// Interval at which a waiting request checks for free capacity, in ms.
constexpr std::int64_t capacityPollIntervalMs = 15;

/// Maximum time that a request waits for free capacity, in ms. @p objectiveMs is its latency objective; 0 for none.
[[nodiscard]] std::int64_t maxCapacityWaitMs(std::int64_t objectiveMs);

/// Longest time after which a rejected caller is asked to retry, in ms. Most callers give up earlier.
constexpr std::int64_t maxRetryAfterMs = 10'000;

/// Time after which a rejected caller should retry, in ms. @p jitter from 0 to 1 selects a point in the range for @p reason, so
/// that callers don't retry all at once. Not before @p admissionInMs, when an upstream admits the next request, within maxRetryAfterMs.
[[nodiscard]] std::int64_t retryAfterMs(RejectionReason reason, double jitter, std::int64_t admissionInMs = 0);

} // namespace Wasabistair::Steering
