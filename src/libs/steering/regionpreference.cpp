#include "regionpreference.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// Part of the even share with which a region starts: it leaves room for uneven traffic.
constexpr double initialPart = 0.9;
// Load per slot above which keys leave the region, and below which they come back.
constexpr double crowdedLoad = 0.85;
constexpr double roomyLoad = 0.6;
// Keys leave only for regions that are at least this much less loaded.
constexpr double leastGain = 0.1;
// Largest change of the share a second; adjacent windows of 2 s then differ by twice that, a third of the usual bound.
constexpr double changePerSecond = 0.025;
constexpr double msPerSecond = 1000;
constexpr double leastShare = 0.05;
constexpr double strongestPreference = 200;
// Below this many requests in a window, shares say nothing.
constexpr double fewRequests = 8;
// Part of the bound that one VM uses for moves; the rest is for chance.
constexpr double usedPart = 0.6;

} // namespace

double initialLocalShare(const RegionRoom &room, int regions)
{
    const double all = room.localSlots + room.remoteSlots;
    return all <= 0 ? 1.0 : std::clamp(initialPart * room.localSlots * regions / all, leastShare, 1.0);
}

double nextLocalShare(double share, const RegionRoom &room, std::int64_t elapsedMs)
{
    const double step = changePerSecond * static_cast<double>(elapsedMs) / msPerSecond;
    if (room.localLoad > crowdedLoad && room.remoteLoad + leastGain < room.localLoad) {
        return std::max(leastShare, share - step);
    }
    if (room.localLoad < roomyLoad) {
        return std::min(1.0, share + step);
    }
    return share;
}

double localPreference(double share, const RegionRoom &room)
{
    if (room.localSlots <= 0 || room.remoteSlots <= 0) {
        return 1;
    }
    const double preference = share >= 1 ? strongestPreference : share / (1 - share) * room.remoteSlots / room.localSlots;
    return std::clamp(preference, 1 / strongestPreference, strongestPreference);
}

RegionFlow::RegionFlow(double maxShift, std::int64_t windowMs)
    : maxShift_(maxShift)
    , bucketMs_(std::max<std::int64_t>(1, windowMs / bucketsPerWindow))
{}

RegionFlow::Bucket &RegionFlow::bucketAt(std::int64_t nowMs)
{
    const std::int64_t index = nowMs / bucketMs_;
    Bucket &bucket = buckets_.at(static_cast<std::size_t>(index) % buckets_.size());
    if (bucket.index != index) {
        bucket = {index, {}, 0};
    }
    return bucket;
}

RegionFlow::WindowCount RegionFlow::countIn(std::size_t region, std::int64_t firstIndex, std::int64_t lastIndex) const
{
    WindowCount sum;
    for (const Bucket &bucket : buckets_) {
        if (bucket.index >= firstIndex && bucket.index <= lastIndex) {
            sum.region += bucket.counts.at(region);
            sum.total += bucket.total;
        }
    }
    return sum;
}

void RegionFlow::count(std::size_t region, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    Bucket &bucket = bucketAt(nowMs);
    ++bucket.counts.at(std::min(region, regionLimit - 1));
    ++bucket.total;
}

bool RegionFlow::mayMoveTo(std::size_t region, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    const std::int64_t index = bucketAt(nowMs).index;
    const std::size_t slot = std::min(region, regionLimit - 1);
    const WindowCount present = countIn(slot, index - bucketsPerWindow + 1, index);
    const WindowCount before = countIn(slot, index - 2 * bucketsPerWindow + 1, index - bucketsPerWindow);
    if (before.total < fewRequests) {
        return true;
    }
    const double allowed = before.region / before.total + usedPart * maxShift_;
    return present.region + 1 <= allowed * std::max(present.total + 1, fewRequests);
}

} // namespace Wasabistair::Steering
