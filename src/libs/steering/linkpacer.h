#pragma once

#include "objects.h"

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// Bytes per second that the holder of one VM slot may transfer in one direction of a link.
/// Each direction has two uses: requests from VMs at one end and answers to VMs at the other. Each use gets half, divided
/// among the VM slots of that end's region.
[[nodiscard]] std::int64_t linkShareBytesPerSecond(const Link &link, std::int64_t vmSlotsOfRegion);

/// Paces bytes over one direction of a link: schedules each chunk at the earliest time that the rate allows. Lock-free.
class LinkPacer
{
public:
    explicit LinkPacer(std::int64_t bytesPerSecond);

    /// Reserves link time for @p bytes and returns how many milliseconds to wait before sending them.
    MonotonicMs reserve(std::int64_t bytes, MonotonicMs now);
    /// Milliseconds until bytes reserved now could be sent; 0 when the link is free.
    [[nodiscard]] MonotonicMs backlogMs(MonotonicMs now) const;
    [[nodiscard]] std::int64_t bytesPerSecond() const;

private:
    const std::int64_t bytesPerSecond_;
    // Monotonic time in microseconds at which all bytes reserved so far have been sent.
    std::atomic<std::int64_t> busyUntilUs_{0};
};

} // namespace Wasabistair::Steering
