#include "clock.h"

#include <ctime>

namespace Wasabistair::Base {

namespace {

constexpr std::int64_t msPerSecond = 1000;
constexpr std::int64_t nsPerMs = 1'000'000;
constexpr std::int64_t usPerSecond = 1'000'000;
constexpr std::int64_t nsPerUs = 1000;

timespec now(clockid_t clock)
{
    timespec value{};
    clock_gettime(clock, &value);
    return value;
}

std::int64_t milliseconds(clockid_t clock)
{
    const timespec value = now(clock);
    return value.tv_sec * msPerSecond + value.tv_nsec / nsPerMs;
}

} // namespace

MonotonicMs SystemClock::monotonic() const
{
    return milliseconds(CLOCK_BOOTTIME);
}

WallMs SystemClock::wall() const
{
    return milliseconds(CLOCK_REALTIME);
}

std::int64_t monotonicMicroseconds()
{
    const timespec value = now(CLOCK_MONOTONIC);
    return value.tv_sec * usPerSecond + value.tv_nsec / nsPerUs;
}

} // namespace Wasabistair::Base
