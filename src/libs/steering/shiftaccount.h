#pragma once

#include "objects.h"

#include <atomic>
#include <compare>
#include <cstdint>
#include <deque>
#include <mutex>

namespace Wasabistair::Steering {

/// Counts of one window of a share cap.
struct ShareWindow {
    std::uint16_t window = 0;
    std::uint32_t total = 0;
    std::uint32_t moved = 0;

    auto operator<=>(const ShareWindow &) const = default;
};

/// The window at a moved request more, or the same window when @p capPermille forbids it.
/// Keeps moved * 1000 <= capPermille * total from the first request of a window on, hence
/// over any number of VMs that each keep it.
[[nodiscard]] bool mayMove(const ShareWindow &window, std::int64_t capPermille);

/// Cap in force at @p wall: rises linearly from 0 at the start over rampSeconds; 0 outside start and end.
[[nodiscard]] std::int64_t rampedCap(const Shift &shift, std::int64_t cap, WallMs wall);
[[nodiscard]] bool isActive(const Shift &shift, WallMs wall);

/// Share-cap counters of one shift on this VM. Lock-free; all state is in one word.
class ShareAccount
{
public:
    /// Windows are this long; counts start at zero in each.
    static constexpr MonotonicMs windowMs = 10'000;

    /// Counts one request as moved if the cap allows it; false leaves the counts unchanged.
    bool tryMove(std::int64_t capPermille, MonotonicMs now);
    /// Takes back a move that found no free slot.
    void undoMove(MonotonicMs now);
    /// Counts one request that stayed.
    void countStay(MonotonicMs now);
    [[nodiscard]] ShareWindow current(MonotonicMs now) const;

private:
    template<typename F>
    bool update(MonotonicMs now, F &&change);

    std::atomic<std::uint64_t> packed_{0};
};

/// Sliding one-second window of an absolute cap: at most @c limit moves within any second.
class RateAccount
{
public:
    static constexpr MonotonicMs windowMs = 1'000;

    /// Counts one move if fewer than @p limit were counted in the last second.
    bool tryMove(std::int64_t limit, MonotonicMs now);
    /// Takes back the move that was counted at @p now.
    void undoMove(MonotonicMs now);

private:
    std::mutex mutex_;
    std::deque<MonotonicMs> moves_;
};

/// Everything that one VM counts for one shift.
struct ShiftCounters {
    ShareAccount share;
    RateAccount rate;
    std::atomic<std::uint64_t> movedTotal{0};
    std::atomic<std::uint64_t> stayedTotal{0};
};

} // namespace Wasabistair::Steering
