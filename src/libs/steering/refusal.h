#pragma once

#include <cstdint>

/// When a request that finds no room waits, and when a refused caller is asked to come back.
namespace Wasabistair::Steering {

enum class RefusalReason {
    /// Upstreams that take requests are full.
    NoRoom,
    /// No upstream takes requests, or this VM can't serve.
    NoUpstream,
};

/// A waiting request looks for room each so many ms.
constexpr std::int64_t roomWaitStepMs = 15;

/// Longest time that a request waits for room, in ms; @p objectiveMs is its latency objective, 0 for none.
[[nodiscard]] std::int64_t longestRoomWaitMs(std::int64_t objectiveMs);

/// Time after which a refused caller should come back, in ms. @p point from 0 to 1 spreads callers, so that they don't
/// return together.
[[nodiscard]] std::int64_t returnAfterMs(RefusalReason reason, double point);

} // namespace Wasabistair::Steering
