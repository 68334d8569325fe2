#include "retrybudget.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

constexpr std::int64_t hundredthsPerRetry = 100;

} // namespace

void RetryBudget::countFirstAttempt(std::int64_t retryPercent)
{
    std::int64_t before = credit_.load(std::memory_order_relaxed);
    const std::int64_t limit = maxSavedRetries * hundredthsPerRetry;
    while (!credit_.compare_exchange_weak(before, std::min(limit, before + retryPercent), std::memory_order_relaxed)) {}
}

bool RetryBudget::trySpend()
{
    std::int64_t before = credit_.load(std::memory_order_relaxed);
    while (before >= hundredthsPerRetry) {
        if (credit_.compare_exchange_weak(before, before - hundredthsPerRetry, std::memory_order_relaxed)) {
            return true;
        }
    }
    return false;
}

} // namespace Wasabistair::Steering
