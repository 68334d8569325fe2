#include "hybridclock.h"

#include <algorithm>

namespace Wasabistair::Base {

HybridClock::HybridClock(const Clock &clock)
    : clock_(clock)
{}

HybridTime HybridClock::tick()
{
    const std::lock_guard lock(mutex_);
    const WallMs wall = clock_.wall();
    if (wall > last_.wall) {
        last_ = {wall, 0};
    } else {
        ++last_.logical;
    }
    return last_;
}

HybridTime HybridClock::merge(const HybridTime &remote)
{
    {
        const std::lock_guard lock(mutex_);
        if (remote.wall <= clock_.wall() + maxAheadMs) {
            last_ = std::max(last_, remote);
        }
    }
    return tick();
}

} // namespace Wasabistair::Base
