#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <mutex>

namespace Wasabistair::Steering {

/// Bound on repeated arrivals at one service in any window, summed over all VMs.
struct RetryBound {
    /// Repeats allowed for each request.
    double ratio = 0;
    /// Repeats allowed beyond that, for the whole fleet.
    double slack = 0;
    std::int64_t windowMs = 10'000;

    auto operator<=>(const RetryBound &) const = default;
};

/// This VM's part of a RetryBound: its own requests times the ratio, and its part of the slack.
///
/// The sum over VMs holds whatever VMs are gone: parts of the slack are counted by registered VMs, living or not, and
/// requests are counted by the VM that received them.
class RetryWindow
{
public:
    /// Counts one request.
    void countRequest(std::int64_t nowMs, const RetryBound &bound);
    /// Takes one repeat from the budget; false when there is none left in the window.
    bool trySpend(std::int64_t nowMs, const RetryBound &bound, int fleetSize);

private:
    static constexpr int bucketCount = 11;

    struct Bucket {
        std::int64_t index = -1;
        std::int64_t requests = 0;
        std::int64_t repeats = 0;
    };

    Bucket &bucketAt(std::int64_t nowMs, const RetryBound &bound);

    std::mutex mutex_;
    std::array<Bucket, bucketCount> buckets_{};
};

} // namespace Wasabistair::Steering
