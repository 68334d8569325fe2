#include "serverload.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

constexpr std::int64_t msPerSecond = 1000;
constexpr std::int64_t coldStartDivisor = 4;

void raiseTo(std::atomic<MonotonicMs> &target, MonotonicMs value)
{
    MonotonicMs before = target.load(std::memory_order_relaxed);
    while (before < value && !target.compare_exchange_weak(before, value, std::memory_order_relaxed)) {}
}

} // namespace

bool ServerLoad::tryAcquire(std::int64_t limit)
{
    std::int64_t before = inFlight_.load(std::memory_order_relaxed);
    while (before < limit) {
        if (inFlight_.compare_exchange_weak(before, before + 1, std::memory_order_acq_rel)) {
            return true;
        }
    }
    return false;
}

void ServerLoad::release()
{
    inFlight_.fetch_sub(1, std::memory_order_acq_rel);
}

std::int64_t ServerLoad::inFlight() const
{
    return inFlight_.load(std::memory_order_relaxed);
}

void ServerLoad::observeShed(MonotonicMs now, MonotonicMs pauseMs)
{
    const std::int64_t reduced = std::max(minScale, scalePermille(now) * shedFactor / fullScale);
    scale_.store(reduced, std::memory_order_relaxed);
    scaleSetAt_.store(now, std::memory_order_relaxed);
    raiseTo(blockedUntil_, now + pauseMs);
}

void ServerLoad::observeFailure(MonotonicMs now, MonotonicMs pauseMs)
{
    raiseTo(blockedUntil_, now + pauseMs);
}

void ServerLoad::observeLeaving(MonotonicMs now, MonotonicMs forMs)
{
    raiseTo(leavingUntil_, now + forMs);
}

void ServerLoad::clearLeaving()
{
    leavingUntil_.store(0, std::memory_order_relaxed);
}

void ServerLoad::observeAnswer(MonotonicMs now)
{
    lastAnswerAt_.store(now, std::memory_order_relaxed);
}

bool ServerLoad::isBlocked(MonotonicMs now) const
{
    return blockedUntil_.load(std::memory_order_relaxed) > now;
}

bool ServerLoad::isLeaving(MonotonicMs now) const
{
    return leavingUntil_.load(std::memory_order_relaxed) > now;
}

MonotonicMs ServerLoad::lastAnswer() const
{
    return lastAnswerAt_.load(std::memory_order_relaxed);
}

std::int64_t ServerLoad::scalePermille(MonotonicMs now) const
{
    const std::int64_t scale = scale_.load(std::memory_order_relaxed);
    if (scale >= fullScale) {
        return fullScale;
    }
    const MonotonicMs elapsed = std::max<MonotonicMs>(0, now - scaleSetAt_.load(std::memory_order_relaxed));
    return std::min(fullScale, scale + elapsed * recoveryPerSecond / msPerSecond);
}

std::int64_t coldStartUnits(std::int64_t units, WallMs ageMs, WallMs coldStartMs)
{
    if (coldStartMs <= 0 || ageMs >= coldStartMs) {
        return units;
    }
    const WallMs age = std::max<WallMs>(ageMs, coldStartMs / coldStartDivisor);
    return (units * age + coldStartMs - 1) / coldStartMs;
}

} // namespace Wasabistair::Steering
