#pragma once

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// Rate limiter that admits at most one request per interval. Lock-free.
///
/// Generic cell rate algorithm with a burst of one: any span of T ms contains at most T / interval + 1 admitted requests.
class RateLimiter
{
public:
    /// Whether a request is admitted at @p nowMs. The next one is admitted @p intervalMs later at the earliest.
    bool tryAcquire(std::int64_t nowMs, std::int64_t intervalMs)
    {
        std::int64_t next = nextAdmissionMs_.load(std::memory_order_relaxed);
        while (nowMs >= next) {
            if (nextAdmissionMs_.compare_exchange_weak(next, nowMs + intervalMs, std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

private:
    std::atomic<std::int64_t> nextAdmissionMs_{0};
};

} // namespace Wasabistair::Steering
