#pragma once

#include "objects.h"

#include <atomic>
#include <compare>
#include <cstdint>
#include <deque>
#include <mutex>

namespace Wasabistair::Steering {

/// Requests counted in one window of a share cap.
struct ShareWindow {
    /// Number of the window since the start of the clock, modulo 2^16.
    std::uint16_t window = 0;
    std::uint32_t total = 0;
    std::uint32_t moved = 0;

    auto operator<=>(const ShareWindow &) const = default;
};

/// True when one more moved request keeps @p window within the cap, that is moved * 1000 <= capPermille * total.
/// The bound holds from the first request of a window on. It also holds for the sums over several VMs that each keep it.
[[nodiscard]] bool mayMove(const ShareWindow &window, std::int64_t capPermille);

/// Cap in effect at @p wall: rises linearly from 0 to @p cap over rampSeconds from the start; 0 before the start and from the end on.
[[nodiscard]] std::int64_t rampedCap(const Shift &shift, std::int64_t cap, WallMs wall);
[[nodiscard]] bool isActive(const Shift &shift, WallMs wall);

/// Enforces the share cap (capPermille) of one shift on this VM. Lock-free; all state is in one atomic word.
class ShiftShareLimiter
{
public:
    /// Length of a window; each starts with counts of zero.
    static constexpr MonotonicMs windowMs = 10'000;

    /// Counts one request as moved if the cap allows it; false leaves the counts unchanged.
    bool tryMove(std::int64_t capPermille, MonotonicMs now);
    /// Undoes a counted move for which no server had a free unit.
    void undoMove(MonotonicMs now);
    /// Counts one request that was not moved.
    void countStay(MonotonicMs now);
    [[nodiscard]] ShareWindow current(MonotonicMs now) const;

private:
    template<typename F>
    bool update(MonotonicMs now, F &&change);

    std::atomic<std::uint64_t> packed_{0};
};

/// Enforces an absolute cap (capRequestsPerSecond) of one shift with a sliding window: at most @c limit moves within any second.
class ShiftRateLimiter
{
public:
    static constexpr MonotonicMs windowMs = 1'000;

    /// Counts one move if fewer than @p limit were counted in the last second.
    bool tryMove(std::int64_t limit, MonotonicMs now);
    /// Undoes one move that was counted at @p now.
    void undoMove(MonotonicMs now);

private:
    std::mutex mutex_;
    std::deque<MonotonicMs> moves_;
};

/// Limiters and totals of one shift on this VM.
struct ShiftCounters {
    ShiftShareLimiter share;
    ShiftRateLimiter rate;
    std::atomic<std::uint64_t> movedTotal{0};
    std::atomic<std::uint64_t> stayedTotal{0};
};

} // namespace Wasabistair::Steering
