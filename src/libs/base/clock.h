#pragma once

#include <chrono>
#include <cstdint>

/// Utilities shared by every package: time, errors, settings, logging, threads and memory limits.
namespace Wasabistair::Base {

/// Milliseconds since an arbitrary start; not affected by changes of the system time.
using MonotonicMs = std::int64_t;
/// Milliseconds since the Unix epoch; jumps when the system time is set.
using WallMs = std::int64_t;

/// Source of time, injected through constructors so that tests can control it.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Monotonic milliseconds. Includes the time the machine was suspended, so that a lease holder sees its lease expire after a pause.
    [[nodiscard]] virtual MonotonicMs monotonic() const = 0;
    [[nodiscard]] virtual WallMs wall() const = 0;
};

/// Clocks of the operating system.
class SystemClock: public Clock
{
public:
    [[nodiscard]] MonotonicMs monotonic() const override;
    [[nodiscard]] WallMs wall() const override;
};

/// Microseconds of the operating system's monotonic clock, for latency measurements only; excludes suspended time.
[[nodiscard]] std::int64_t monotonicMicroseconds();

} // namespace Wasabistair::Base
