#pragma once

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// Bounds retries to a share of first tries. Lock-free.
class RetryBudget
{
public:
    /// Counts one first try, which earns @p retryPercent hundredths of a retry.
    void countFirstTry(std::int64_t retryPercent);
    /// Spends one retry; false when none is earned.
    bool trySpend();

    /// Largest number of retries that can be saved up.
    static constexpr std::int64_t maxSavedRetries = 10;

private:
    // In hundredths of a retry. Starts at zero: a process that just started has not earned any.
    std::atomic<std::int64_t> credit_{0};
};

} // namespace Wasabistair::Steering
