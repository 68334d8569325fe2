#include "shiftaccount.h"

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
    return static_cast<std::uint16_t>(now / ShareAccount::windowMs);
}

ShareWindow rolled(const ShareWindow &window, MonotonicMs now)
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
bool ShareAccount::update(MonotonicMs now, F &&change)
{
    std::uint64_t before = packed_.load(std::memory_order_relaxed);
    while (true) {
        ShareWindow window = rolled(unpack(before), now);
        if (!change(window)) {
            return false;
        }
        if (packed_.compare_exchange_weak(before, pack(window), std::memory_order_relaxed)) {
            return true;
        }
    }
}

bool ShareAccount::tryMove(std::int64_t capPermille, MonotonicMs now)
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

void ShareAccount::undoMove(MonotonicMs now)
{
    // With a cap of at most 1, one less of both keeps moved <= cap * total.
    update(now, [](ShareWindow &window) {
        if (window.moved == 0) {
            return false;
        }
        --window.total;
        --window.moved;
        return true;
    });
}

void ShareAccount::countStay(MonotonicMs now)
{
    update(now, [](ShareWindow &window) {
        if (window.total >= countMask) {
            return false;
        }
        ++window.total;
        return true;
    });
}

ShareWindow ShareAccount::current(MonotonicMs now) const
{
    return rolled(unpack(packed_.load(std::memory_order_relaxed)), now);
}

bool RateAccount::tryMove(std::int64_t limit, MonotonicMs now)
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

void RateAccount::undoMove(MonotonicMs now)
{
    // Not simply the last one: another thread's later move must stay counted until its own second is over.
    const std::lock_guard lock(mutex_);
    const auto own = std::find(moves_.begin(), moves_.end(), now);
    if (own != moves_.end()) {
        moves_.erase(own);
    }
}

} // namespace Wasabistair::Steering
