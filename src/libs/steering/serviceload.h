#pragma once

#include "upstreamrecord.h"

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// Mean load per slot of a service's upstreams, from what their answers to this VM report. It stands in for the load of an
/// upstream that this VM has not heard of lately: in a large fleet that is most of them. Thread-safe.
class ServiceLoad
{
public:
    /// Reports without slots are left out.
    void note(const ReportedLoad &load, std::int64_t nowMs);
    /// Fades to 0 when nothing is reported, so that a service that was full is tried again.
    [[nodiscard]] double at(std::int64_t nowMs) const;

private:
    std::atomic<double> mean_{0};
    std::atomic<std::int64_t> notedAtMs_{0};
};

} // namespace Wasabistair::Steering
