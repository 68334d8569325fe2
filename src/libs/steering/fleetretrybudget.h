#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <mutex>

namespace Wasabistair::Steering {

/// Fleet-wide limit on retries that reach one service in any window.
struct FleetRetryLimit {
    /// Retries allowed per request.
    double ratio = 0;
    /// Retries allowed beyond that, for the whole fleet.
    double slack = 0;
    std::int64_t windowMs = 10'000;

    auto operator<=>(const FleetRetryLimit &) const = default;
};

/// Retry budget over a sliding window: this VM's share of a FleetRetryLimit. It is the number of requests that this VM received times the
/// ratio, plus an even part of the slack. Thread-safe.
///
/// The sum over all VMs stays within the limit whichever VMs have failed: the slack is divided by the number of registered VMs, alive or
/// not, and each request is counted only by the VM that received it.
class FleetRetryBudget
{
public:
    /// Counts one request.
    void countRequest(std::int64_t nowMs, const FleetRetryLimit &bound);
    /// Spends one retry; false when the budget of the window is used up.
    bool trySpend(std::int64_t nowMs, const FleetRetryLimit &bound, int fleetSize);

private:
    static constexpr int bucketCount = 11;

    struct Bucket {
        std::int64_t index = -1;
        std::int64_t requests = 0;
        std::int64_t retries = 0;
    };

    Bucket &bucketAt(std::int64_t nowMs, const FleetRetryLimit &bound);

    std::mutex mutex_;
    std::array<Bucket, bucketCount> buckets_{};
};

} // namespace Wasabistair::Steering
