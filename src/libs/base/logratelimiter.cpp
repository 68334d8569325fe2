#include "logratelimiter.h"

namespace Wasabistair::Base {

namespace {

constexpr std::int64_t msPerSecond = 1000;

} // namespace

LogRateLimiter::LogRateLimiter(const Clock &clock, int linesPerSecond)
    : clock_(clock)
    , linesPerSecond_(linesPerSecond)
{}

bool LogRateLimiter::tryAcquire()
{
    const std::int64_t second = clock_.monotonic() / msPerSecond;
    std::int64_t recordedSecond = currentSecond_.load(std::memory_order_relaxed);
    if (recordedSecond != second && currentSecond_.compare_exchange_strong(recordedSecond, second, std::memory_order_relaxed)) {
        linesInSecond_.store(0, std::memory_order_relaxed);
    }
    if (linesInSecond_.fetch_add(1, std::memory_order_relaxed) < linesPerSecond_) {
        return true;
    }
    suppressed_.fetch_add(1, std::memory_order_relaxed);
    return false;
}

std::uint64_t LogRateLimiter::takeSuppressedCount()
{
    return suppressed_.exchange(0, std::memory_order_relaxed);
}

} // namespace Wasabistair::Base
