#pragma once

#include "clock.h"

#include <compare>
#include <cstdint>
#include <mutex>

namespace Wasabistair::Base {

/// Time stamp of a hybrid logical clock.
/// Source: Kulkarni et al., "Logical Physical Clocks", OPODIS 2014.
struct HybridTime {
    WallMs wall = 0;
    std::uint32_t logical = 0;

    auto operator<=>(const HybridTime &) const = default;
};

/// Hybrid logical clock: follows wall time, and never orders an effect before its cause.
class HybridClock
{
public:
    explicit HybridClock(const Clock &clock);

    /// Time stamp for a local event or a message to send.
    HybridTime tick();
    /// Merges the stamp of a received message. Stamps more than maxAheadMs ahead of the local
    /// wall clock are ignored, so that one broken clock cannot drag the others along.
    HybridTime merge(const HybridTime &remote);

    static constexpr WallMs maxAheadMs = 60'000;

private:
    const Clock &clock_;
    std::mutex mutex_;
    HybridTime last_;
};

} // namespace Wasabistair::Base
