#include "refusal.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// At most this part of the objective, since a caller that is refused soon can still be served in time.
constexpr std::int64_t waitPartOfObjective = 8;
constexpr std::int64_t longestWaitMs = 60;
// Room appears within about the time of one request.
constexpr std::int64_t roomAfterMs = 120;
constexpr std::int64_t roomSpreadMs = 280;
constexpr std::int64_t upstreamAfterMs = 300;
constexpr std::int64_t upstreamSpreadMs = 400;

} // namespace

std::int64_t longestRoomWaitMs(std::int64_t objectiveMs)
{
    return objectiveMs > 0 ? std::min(longestWaitMs, objectiveMs / waitPartOfObjective) : longestWaitMs;
}

std::int64_t returnAfterMs(RefusalReason reason, double point)
{
    const bool full = reason == RefusalReason::NoRoom;
    const auto spread = static_cast<double>(full ? roomSpreadMs : upstreamSpreadMs);
    return (full ? roomAfterMs : upstreamAfterMs) + static_cast<std::int64_t>(point * spread);
}

} // namespace Wasabistair::Steering
