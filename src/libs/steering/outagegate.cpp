#include "outagegate.h"

#include <algorithm>

namespace Wasabistair::Steering {

bool OutageGate::mayCall(std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    if (consecutiveFailures_ < failuresOfOutage) {
        return true;
    }
    if (nowMs < nextProbeAtMs_) {
        return false;
    }
    nextProbeAtMs_ = nowMs + longestTryMs;
    return true;
}

bool OutageGate::mayWait() const
{
    const std::lock_guard lock(mutex_);
    return consecutiveFailures_ < failuresOfOutage;
}

void OutageGate::failed(std::int64_t startedMs, std::int64_t nowMs, double jitter)
{
    const std::lock_guard lock(mutex_);
    lastFailedCallStartedMs_ = std::max(lastFailedCallStartedMs_, startedMs);
    consecutiveFailures_ = std::min(consecutiveFailures_ + 1, failuresOfOutage);
    if (consecutiveFailures_ < failuresOfOutage) {
        return;
    }
    backoffMs_ = std::clamp(backoffMs_ * 2, firstBackoffMs, longestBackoffMs);
    nextProbeAtMs_ = nowMs + static_cast<std::int64_t>(static_cast<double>(backoffMs_) * (1 + jitter) / 2);
}

void OutageGate::succeeded()
{
    const std::lock_guard lock(mutex_);
    consecutiveFailures_ = 0;
    backoffMs_ = 0;
}

void OutageGate::abandoned()
{
    const std::lock_guard lock(mutex_);
    nextProbeAtMs_ = 0;
}

std::int64_t OutageGate::lapsedGoneAtMs() const
{
    const std::lock_guard lock(mutex_);
    return lastFailedCallStartedMs_ + returnGraceMs;
}

} // namespace Wasabistair::Steering
