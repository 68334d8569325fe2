#pragma once

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// Limits retries to a share of first attempts. Lock-free.
class RetryBudget
{
public:
    /// Counts one first attempt, which earns @p retryPercent hundredths of a retry.
    void countFirstAttempt(std::int64_t retryPercent);
    /// Spends one retry; false when less than one is saved.
    bool trySpend();

    /// Largest number of retries that can be saved up.
    static constexpr std::int64_t maxSavedRetries = 10;

private:
    // In hundredths of a retry. Starts at 0, because a process that has just started has earned none.
    std::atomic<std::int64_t> credit_{0};
};

} // namespace Wasabistair::Steering
