#pragma once

#include "objects.h"

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// Bytes a second that the holder of one VM slot may send one way over a link.
/// Each direction is divided by two uses (uploads of one end's VMs, answers to the other end's),
/// and each half among the VM slots of the end concerned.
[[nodiscard]] std::int64_t linkShareBytesPerSecond(const Link &link, std::int64_t vmSlotsOfRegion);

/// Meters bytes over one direction of a link. Lock-free.
/// Schedules each chunk at the earliest time at which the rate allows it.
class LinkBudget
{
public:
    explicit LinkBudget(std::int64_t bytesPerSecond);

    /// Books @p bytes and returns how many milliseconds to wait before sending them.
    MonotonicMs book(std::int64_t bytes, MonotonicMs now);
    /// Milliseconds until bytes that are booked now could be sent: 0 means headroom.
    [[nodiscard]] MonotonicMs backlogMs(MonotonicMs now) const;
    [[nodiscard]] std::int64_t bytesPerSecond() const;

private:
    const std::int64_t bytesPerSecond_;
    // Microseconds at which everything booked so far will have been sent.
    std::atomic<std::int64_t> busyUntilUs_{0};
};

} // namespace Wasabistair::Steering
