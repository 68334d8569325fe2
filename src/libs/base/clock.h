#pragma once

#include <chrono>
#include <cstdint>

/// Time, errors, settings, logs and other plumbing shared by every package.
namespace Wasabistair::Base {

/// Milliseconds since an arbitrary start; never jumps.
using MonotonicMs = std::int64_t;
/// Milliseconds since the Unix epoch; may jump.
using WallMs = std::int64_t;

/// Source of time. Everything that decides by time receives one through its constructor.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic milliseconds. Counts suspended time as well, so that a paused holder sees its lease expire.
    [[nodiscard]] virtual MonotonicMs monotonic() const = 0;
    /// Wall clock milliseconds since the Unix epoch.
    [[nodiscard]] virtual WallMs wall() const = 0;
};

/// The machine's own clocks.
class SystemClock: public Clock
{
public:
    [[nodiscard]] MonotonicMs monotonic() const override;
    [[nodiscard]] WallMs wall() const override;
};

/// Microseconds of the machine's monotonic clock, for latency figures only.
[[nodiscard]] std::int64_t monotonicMicroseconds();

} // namespace Wasabistair::Base
