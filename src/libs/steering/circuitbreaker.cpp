#include "circuitbreaker.h"

#include <algorithm>

namespace Wasabistair::Steering {

bool CircuitBreaker::tryBeginCall(std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    if (consecutiveFailures_ < failureThreshold) {
        return true;
    }
    if (nowMs < nextProbeAtMs_) {
        return false;
    }
    nextProbeAtMs_ = nowMs + probeTimeoutMs;
    return true;
}

bool CircuitBreaker::allowsWatch() const
{
    const std::lock_guard lock(mutex_);
    return consecutiveFailures_ < failureThreshold;
}

void CircuitBreaker::recordFailure(std::int64_t startedMs, std::int64_t nowMs, double jitter)
{
    const std::lock_guard lock(mutex_);
    lastFailedCallStartedMs_ = std::max(lastFailedCallStartedMs_, startedMs);
    consecutiveFailures_ = std::min(consecutiveFailures_ + 1, failureThreshold);
    if (consecutiveFailures_ < failureThreshold) {
        return;
    }
    backoffMs_ = std::clamp(backoffMs_ * 2, firstBackoffMs, maxBackoffMs);
    nextProbeAtMs_ = nowMs + static_cast<std::int64_t>(static_cast<double>(backoffMs_) * (1 + jitter) / 2);
}

void CircuitBreaker::recordSuccess()
{
    const std::lock_guard lock(mutex_);
    consecutiveFailures_ = 0;
    backoffMs_ = 0;
}

void CircuitBreaker::recordAbandoned()
{
    const std::lock_guard lock(mutex_);
    nextProbeAtMs_ = 0;
}

std::int64_t CircuitBreaker::expiredEntriesRemovedAtMs() const
{
    const std::lock_guard lock(mutex_);
    return lastFailedCallStartedMs_ + expiredEntryGraceMs;
}

} // namespace Wasabistair::Steering
