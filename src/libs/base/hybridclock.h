#pragma once

#include "clock.h"

#include <compare>
#include <cstdint>
#include <mutex>

namespace Wasabistair::Base {

/// Timestamp of a hybrid logical clock: wall time in milliseconds and a counter that orders events of equal wall time.
/// Source: Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
struct HybridTime {
    WallMs wall = 0;
    std::uint32_t logical = 0;

    auto operator<=>(const HybridTime &) const = default;
};

/// Hybrid logical clock: stays close to wall time and orders every event after its causes. Thread-safe.
class HybridClock
{
public:
    explicit HybridClock(const Clock &clock);

    /// Timestamp for a local event or a message to send.
    HybridTime tick();
    /// Merges the timestamp of a received message and returns a later local one. Timestamps more than maxAheadMs ahead of the local
    /// wall clock are ignored, so that one machine with a wrong clock does not advance the clocks of all others.
    HybridTime merge(const HybridTime &remote);

    static constexpr WallMs maxAheadMs = 60'000;

private:
    const Clock &clock_;
    std::mutex mutex_;
    HybridTime last_;
};

} // namespace Wasabistair::Base
