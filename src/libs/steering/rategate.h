#pragma once

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// Admits at most one request each interval, without saved-up credit. Lock-free.
///
/// The generic cell rate algorithm with a burst of one: in any span of T ms it admits at most T / interval + 1.
class RateGate
{
public:
    /// True when a request may pass at @p nowMs; the next one may after @p intervalMs.
    bool tryPass(std::int64_t nowMs, std::int64_t intervalMs)
    {
        std::int64_t next = nextMs_.load(std::memory_order_relaxed);
        while (nowMs >= next) {
            if (nextMs_.compare_exchange_weak(next, nowMs + intervalMs, std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

private:
    std::atomic<std::int64_t> nextMs_{0};
};

} // namespace Wasabistair::Steering
