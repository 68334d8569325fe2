#include "linkpacer.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

constexpr std::int64_t bytesPerMbit = 125'000;
constexpr std::int64_t percent = 100;
constexpr std::int64_t usesPerDirection = 2;
constexpr std::int64_t usPerSecond = 1'000'000;
constexpr std::int64_t usPerMs = 1'000;

} // namespace

std::int64_t linkShareBytesPerSecond(const Link &link, std::int64_t vmSlotsOfRegion)
{
    if (vmSlotsOfRegion <= 0) {
        return 0;
    }
    return link.mbitPerSecond * bytesPerMbit * link.sharePercent / percent / usesPerDirection / vmSlotsOfRegion;
}

LinkPacer::LinkPacer(std::int64_t bytesPerSecond)
    : bytesPerSecond_(std::max<std::int64_t>(1, bytesPerSecond))
{}

MonotonicMs LinkPacer::reserve(std::int64_t bytes, MonotonicMs now)
{
    const std::int64_t nowUs = now * usPerMs;
    const std::int64_t durationUs = (bytes * usPerSecond + bytesPerSecond_ - 1) / bytesPerSecond_;
    std::int64_t busyUntil = busyUntilUs_.load(std::memory_order_relaxed);
    std::int64_t startUs = 0;
    do {
        startUs = std::max(busyUntil, nowUs);
    } while (!busyUntilUs_.compare_exchange_weak(busyUntil, startUs + durationUs, std::memory_order_relaxed));
    return (startUs - nowUs + usPerMs - 1) / usPerMs;
}

MonotonicMs LinkPacer::backlogMs(MonotonicMs now) const
{
    return std::max<MonotonicMs>(0, (busyUntilUs_.load(std::memory_order_relaxed) - now * usPerMs) / usPerMs);
}

std::int64_t LinkPacer::bytesPerSecond() const
{
    return bytesPerSecond_;
}

} // namespace Wasabistair::Steering
