#include "leavingnotice.h"

#include <limits>

namespace Wasabistair::Steering {

bool LeavingNotice::record(bool authentic, std::int64_t nowMs)
{
    const std::int64_t until = authentic ? std::numeric_limits<std::int64_t>::max() : nowMs + unsignedLeavingMs;
    std::int64_t present = untilMs_.load(std::memory_order_relaxed);
    const bool isNews = present <= nowMs;
    while (until > present && !untilMs_.compare_exchange_weak(present, until, std::memory_order_relaxed)) {}
    return isNews;
}

bool LeavingNotice::isInForceAt(std::int64_t nowMs) const
{
    return nowMs < untilMs_.load(std::memory_order_relaxed);
}

} // namespace Wasabistair::Steering
