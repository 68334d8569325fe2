#include "serviceload.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// Averages over about 20 answers, which is about one second of a VM's requests.
constexpr double newestWeight = 0.05;
// Without reports the mean is kept for the time that a few requests take and then decays to 0 within another second.
constexpr std::int64_t holdMs = 1'000;
constexpr double decayMs = 1'000;

} // namespace

void ServiceLoad::record(const ReportedLoad &load, std::int64_t nowMs)
{
    if (load.slots <= 0) {
        return;
    }
    const double loadPerSlot = static_cast<double>(load.running + load.waiting) / load.slots;
    // Concurrent calls can lose an update, which drops one of many reports.
    const double mean = at(nowMs);
    mean_.store(mean + newestWeight * (loadPerSlot - mean), std::memory_order_relaxed);
    lastReportAtMs_.store(nowMs, std::memory_order_relaxed);
}

double ServiceLoad::at(std::int64_t nowMs) const
{
    const auto decayingMs = static_cast<double>(nowMs - lastReportAtMs_.load(std::memory_order_relaxed) - holdMs);
    return mean_.load(std::memory_order_relaxed) * std::clamp(1.0 - decayingMs / decayMs, 0.0, 1.0);
}

} // namespace Wasabistair::Steering
