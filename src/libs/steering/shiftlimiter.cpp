#include "shiftlimiter.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

constexpr int movedBits = 24;
constexpr int totalBits = 24;
constexpr std::uint64_t countMask = (std::uint64_t{1} << movedBits) - 1;
constexpr std::int64_t permille = 1000;
constexpr std::int64_t msPerSecond = 1000;

ShareWindow unpack(std::uint64_t packed)
{
    return {static_cast<std::uint16_t>(packed >> (movedBits + totalBits)), static_cast<std::uint32_t>((packed >> movedBits) & countMask),
        static_cast<std::uint32_t>(packed & countMask)};
}

std::uint64_t pack(const ShareWindow &window)
{
    return (std::uint64_t{window.window} << (movedBits + totalBits)) | (std::uint64_t{window.total} << movedBits) | window.moved;
}

std::uint16_t windowAt(MonotonicMs now)
{
    return static_cast<std::uint16_t>(now / ShiftShareLimiter::windowMs);
}

ShareWindow rolledTo(const ShareWindow &window, MonotonicMs now)
{
    const std::uint16_t current = windowAt(now);
    return window.window == current ? window : ShareWindow{current, 0, 0};
}

} // namespace

bool mayMove(const ShareWindow &window, std::int64_t capPermille)
{
    if (window.total >= countMask) {
        return false;
    }
    return (std::int64_t{window.moved} + 1) * permille <= capPermille * (std::int64_t{window.total} + 1);
}

bool isActive(const Shift &shift, WallMs wall)
{
    return wall >= shift.start && wall < shift.end;
}

std::int64_t rampedCap(const Shift &shift, std::int64_t cap, WallMs wall)
{
    if (!isActive(shift, wall)) {
        return 0;
    }
    const std::int64_t rampMs = shift.rampSeconds * msPerSecond;
    const std::int64_t elapsed = wall - shift.start;
    if (rampMs == 0 || elapsed >= rampMs) {
        return cap;
    }
    return cap * elapsed / rampMs;
}

template<typename F>
bool ShiftShareLimiter::update(MonotonicMs now, F &&change)
{
    std::uint64_t before = packed_.load(std::memory_order_relaxed);
    while (true) {
        ShareWindow window = rolledTo(unpack(before), now);
        if (!change(window)) {
            return false;
        }
        if (packed_.compare_exchange_weak(before, pack(window), std::memory_order_relaxed)) {
            return true;
        }
    }
}

bool ShiftShareLimiter::tryMove(std::int64_t capPermille, MonotonicMs now)
{
    return update(now, [capPermille](ShareWindow &window) {
        if (!mayMove(window, capPermille)) {
            return false;
        }
        ++window.total;
        ++window.moved;
        return true;
    });
}

void ShiftShareLimiter::undoMove(MonotonicMs now)
{
    // The cap is at most 1 (1000 permille), so decrementing both counts keeps moved <= cap * total.
    update(now, [](ShareWindow &window) {
        if (window.moved == 0) {
            return false;
        }
        --window.total;
        --window.moved;
        return true;
    });
}

void ShiftShareLimiter::countStay(MonotonicMs now)
{
    update(now, [](ShareWindow &window) {
        if (window.total >= countMask) {
            return false;
        }
        ++window.total;
        return true;
    });
}

ShareWindow ShiftShareLimiter::current(MonotonicMs now) const
{
    return rolledTo(unpack(packed_.load(std::memory_order_relaxed)), now);
}

bool ShiftRateLimiter::tryMove(std::int64_t limit, MonotonicMs now)
{
    const std::lock_guard lock(mutex_);
    while (!moves_.empty() && moves_.front() <= now - windowMs) {
        moves_.pop_front();
    }
    if (static_cast<std::int64_t>(moves_.size()) >= limit) {
        return false;
    }
    moves_.push_back(now);
    return true;
}

void ShiftRateLimiter::undoMove(MonotonicMs now)
{
    // Removes the entry counted at this time: the last entry may be a later move of another thread, which must stay counted for a full second.
    const std::lock_guard lock(mutex_);
    const auto found = std::find(moves_.begin(), moves_.end(), now);
    if (found != moves_.end()) {
        moves_.erase(found);
    }
}

} // namespace Wasabistair::Steering
