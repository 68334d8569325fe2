#include "fleetretrybudget.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// Part of the limit that is used, because requests leave callers and reach upstreams at other times than they pass this VM.
constexpr double usedFraction = 0.8;

std::int64_t bucketMs(const FleetRetryLimit &bound, int buckets)
{
    return std::max<std::int64_t>(1, bound.windowMs / (buckets - 1));
}

} // namespace

FleetRetryBudget::Bucket &FleetRetryBudget::bucketAt(std::int64_t nowMs, const FleetRetryLimit &bound)
{
    const std::int64_t index = nowMs / bucketMs(bound, bucketCount);
    Bucket &bucket = buckets_.at(static_cast<std::size_t>(index % bucketCount));
    if (bucket.index != index) {
        bucket = {index, 0, 0};
    }
    return bucket;
}

void FleetRetryBudget::countRequest(std::int64_t nowMs, const FleetRetryLimit &bound)
{
    const std::lock_guard lock(mutex_);
    ++bucketAt(nowMs, bound).requests;
}

bool FleetRetryBudget::trySpend(std::int64_t nowMs, const FleetRetryLimit &bound, int fleetSize)
{
    const std::lock_guard lock(mutex_);
    Bucket &present = bucketAt(nowMs, bound);
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    for (const Bucket &bucket : buckets_) {
        if (bucket.index > present.index - bucketCount && bucket.index <= present.index) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
    }
    // The oldest bucket is only partly inside the window: its retries count and its requests don't, so the limit holds in any case.
    const Bucket &oldest = buckets_.at(static_cast<std::size_t>((present.index + 1) % bucketCount));
    if (oldest.index == present.index + 1 - bucketCount) {
        requests -= oldest.requests;
    }
    const double allowed = usedFraction * (bound.ratio * static_cast<double>(requests) + bound.slack / std::max(1, fleetSize));
    if (static_cast<double>(retries + 1) > allowed) {
        return false;
    }
    ++present.retries;
    return true;
}

} // namespace Wasabistair::Steering
