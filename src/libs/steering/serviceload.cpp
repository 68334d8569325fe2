#include "serviceload.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// Follows some twenty answers, about a second of a VM's requests.
constexpr double weightOfNewest = 0.05;
// Without reports the mean holds for the time that a few requests take, then fades within another second.
constexpr std::int64_t holdMs = 1'000;
constexpr double fadeMs = 1'000;

} // namespace

void ServiceLoad::note(const ReportedLoad &load, std::int64_t nowMs)
{
    if (load.slots <= 0) {
        return;
    }
    const double loadPerSlot = static_cast<double>(load.running + load.waiting) / load.slots;
    // A lost update among threads loses one of many reports.
    const double mean = at(nowMs);
    mean_.store(mean + weightOfNewest * (loadPerSlot - mean), std::memory_order_relaxed);
    notedAtMs_.store(nowMs, std::memory_order_relaxed);
}

double ServiceLoad::at(std::int64_t nowMs) const
{
    const auto silent = static_cast<double>(nowMs - notedAtMs_.load(std::memory_order_relaxed) - holdMs);
    return mean_.load(std::memory_order_relaxed) * std::clamp(1.0 - silent / fadeMs, 0.0, 1.0);
}

} // namespace Wasabistair::Steering
