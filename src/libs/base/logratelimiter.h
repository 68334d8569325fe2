#pragma once

#include "clock.h"
#include "log.h"

#include <atomic>
#include <cstdint>

namespace Wasabistair::Base {

/// Rate limiter for log lines of one kind: permits a fixed number of lines per second and counts the suppressed ones. Lock-free.
class LogRateLimiter
{
public:
    LogRateLimiter(const Clock &clock, int linesPerSecond);

    /// Returns whether a line may be written now; otherwise counts it as suppressed.
    bool tryAcquire();
    /// Number of lines suppressed since the last call; resets the count.
    std::uint64_t takeSuppressedCount();

private:
    const Clock &clock_;
    const int linesPerSecond_;
    std::atomic<std::int64_t> currentSecond_{0};
    std::atomic<int> linesInSecond_{0};
    std::atomic<std::uint64_t> suppressed_{0};
};

} // namespace Wasabistair::Base
