#include "outagegate.h"

#include <algorithm>

namespace Wasabistair::Steering {

bool OutageGate::mayCall(std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    if (failures_ < failuresOfOutage) {
        return true;
    }
    if (nowMs < nextTryAtMs_) {
        return false;
    }
    nextTryAtMs_ = nowMs + longestTryMs;
    return true;
}

bool OutageGate::mayWait() const
{
    const std::lock_guard lock(mutex_);
    return failures_ < failuresOfOutage;
}

void OutageGate::failed(std::int64_t beganMs, std::int64_t nowMs, double point)
{
    const std::lock_guard lock(mutex_);
    lastAwayMs_ = std::max(lastAwayMs_, beganMs);
    failures_ = std::min(failures_ + 1, failuresOfOutage);
    if (failures_ < failuresOfOutage) {
        return;
    }
    backoffMs_ = std::clamp(backoffMs_ * 2, firstBackoffMs, longestBackoffMs);
    nextTryAtMs_ = nowMs + static_cast<std::int64_t>(static_cast<double>(backoffMs_) * (1 + point) / 2);
}

void OutageGate::succeeded()
{
    const std::lock_guard lock(mutex_);
    failures_ = 0;
    backoffMs_ = 0;
}

void OutageGate::abandoned()
{
    const std::lock_guard lock(mutex_);
    nextTryAtMs_ = 0;
}

std::int64_t OutageGate::lapsedGoneAtMs() const
{
    const std::lock_guard lock(mutex_);
    return lastAwayMs_ + returnGraceMs;
}

} // namespace Wasabistair::Steering
