#include "requestedpause.h"

#include <algorithm>

namespace Wasabistair::Steering {

std::int64_t returnDelayMs(std::int64_t pauseMs, int fleetSize, int rank)
{
    const double spread = std::min(static_cast<double>(maxReturnSpreadMs), returnSpreadFactor * static_cast<double>(pauseMs));
    const int vms = std::max(1, fleetSize);
    return static_cast<std::int64_t>(spread * std::clamp(rank, 0, vms - 1) / vms);
}

bool RequestedPause::record(std::int64_t pauseMs, std::int64_t returnDelay, std::int64_t nowMs)
{
    const std::int64_t until = nowMs + std::min(pauseMs, maxRequestedPauseMs) + returnDelay;
    std::int64_t present = untilMs_.load(std::memory_order_relaxed);
    const bool isNews = present <= nowMs;
    while (until > present && !untilMs_.compare_exchange_weak(present, until, std::memory_order_relaxed)) {}
    return isNews;
}

std::int64_t RequestedPause::remainingMs(std::int64_t nowMs) const
{
    return std::max<std::int64_t>(0, untilMs_.load(std::memory_order_relaxed) - nowMs);
}

bool RequestedPause::isInForceAt(std::int64_t nowMs) const
{
    return remainingMs(nowMs) > 0;
}

} // namespace Wasabistair::Steering
