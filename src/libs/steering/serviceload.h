#pragma once

#include "upstreamrecord.h"

#include <atomic>
#include <cstdint>

namespace Wasabistair::Steering {

/// Mean load per slot of a service's upstreams, from the load reports in their answers to this VM. It replaces the load of upstreams
/// without a recent report, which in a large fleet are most of them. Thread-safe.
class ServiceLoad
{
public:
    /// Adds a load report to the mean. Reports without slots are ignored.
    void record(const ReportedLoad &load, std::int64_t nowMs);
    /// Mean load per slot at @p nowMs. Decays to 0 when there are no reports, so that an overloaded service gets requests again.
    [[nodiscard]] double at(std::int64_t nowMs) const;

private:
    std::atomic<double> mean_{0};
    std::atomic<std::int64_t> lastReportAtMs_{0};
};

} // namespace Wasabistair::Steering
