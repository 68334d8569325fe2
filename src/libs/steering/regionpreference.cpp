#include "regionpreference.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A region starts with this part of its even share, which leaves headroom for uneven traffic.
constexpr double initialFraction = 0.9;
// Load per slot above which keys are moved to other regions, and below which they return.
constexpr double highLoad = 0.85;
constexpr double lowLoad = 0.6;
// Keys are moved only when the load per slot of the other regions is lower by more than this.
constexpr double minLoadDifference = 0.1;
// Largest change of the local share per second. Adjacent windows of 2 s then differ by twice that, a third of the usual limit of 0.15.
constexpr double changePerSecond = 0.025;
// Load per slot that a region of uneven upstreams is to have: the rest is for busy and noisy machines among them, and nobody waits yet.
constexpr double roomyLoad = 0.65;
// The share keeps its value while the load is below roomyLoad by less than this.
constexpr double roomyTolerance = 0.1;
// Part of the difference to the share that fits the room which is made up each second; a load report is a second old on average.
constexpr double approachPerSecond = 0.5;
// Largest change per second with which adjacent windows of 2 s differ by half of the usual limit of 0.15.
constexpr double changeByRoomPerSecond = 0.04;
constexpr double msPerSecond = 1000;
constexpr double minLocalShare = 0.05;
constexpr double maxPreference = 200;
// With fewer requests in a window, the shares of regions are not significant.
constexpr double minRequests = 8;
// Part of the limit that one VM uses for shifts; the rest covers random variation.
constexpr double usedFraction = 0.6;

} // namespace

double initialLocalShare(const RegionCapacity &room, int regions)
{
    const double totalSlots = room.localSlots + room.remoteSlots;
    return totalSlots <= 0 ? 1.0 : std::clamp(initialFraction * room.localSlots * regions / totalSlots, minLocalShare, 1.0);
}

double nextLocalShare(double share, const RegionCapacity &room, std::int64_t elapsedMs)
{
    const double step = changePerSecond * static_cast<double>(elapsedMs) / msPerSecond;
    if (room.localLoad > highLoad && room.remoteLoad + minLoadDifference < room.localLoad) {
        return std::max(minLocalShare, share - step);
    }
    if (room.localLoad < lowLoad) {
        return std::min(1.0, share + step);
    }
    return share;
}

double nextShareByRoom(double share, const RegionCapacity &room, std::int64_t elapsedMs)
{
    const bool tooFull = room.localLoad > roomyLoad && room.remoteLoad + minLoadDifference < room.localLoad;
    const bool hasRoom = room.localLoad < roomyLoad - roomyTolerance;
    if (!tooFull && !hasRoom) {
        return share;
    }
    const double seconds = static_cast<double>(elapsedMs) / msPerSecond;
    const double fitting = room.localLoad > 0 ? std::min(1.0, share * roomyLoad / room.localLoad) : 1.0;
    const double most = changeByRoomPerSecond * seconds;
    return std::clamp(share + std::clamp((fitting - share) * approachPerSecond * seconds, -most, most), minLocalShare, 1.0);
}

double localPreference(double share, const RegionCapacity &room)
{
    if (room.localSlots <= 0 || room.remoteSlots <= 0) {
        return 1;
    }
    const double preference = share >= 1 ? maxPreference : share / (1 - share) * room.remoteSlots / room.localSlots;
    return std::clamp(preference, 1 / maxPreference, maxPreference);
}

RegionShiftLimiter::RegionShiftLimiter(double maxShift, std::int64_t windowMs)
    : bucketMs_(std::max<std::int64_t>(1, windowMs / bucketsPerWindow))
    , maxShift_(maxShift)
{}

void RegionShiftLimiter::setMaxShift(double maxShift)
{
    const std::lock_guard lock(mutex_);
    maxShift_ = maxShift;
}

RegionShiftLimiter::Bucket &RegionShiftLimiter::bucketAt(std::int64_t nowMs)
{
    const std::int64_t index = nowMs / bucketMs_;
    Bucket &bucket = buckets_.at(static_cast<std::size_t>(index) % buckets_.size());
    if (bucket.index != index) {
        bucket = {index, {}, 0};
    }
    return bucket;
}

RegionShiftLimiter::WindowCount RegionShiftLimiter::countIn(std::size_t region, std::int64_t firstIndex, std::int64_t lastIndex) const
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

void RegionShiftLimiter::count(std::size_t region, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    Bucket &bucket = bucketAt(nowMs);
    ++bucket.counts.at(std::min(region, maxRegions - 1));
    ++bucket.total;
}

bool RegionShiftLimiter::allowsShiftTo(std::size_t region, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    const std::int64_t index = bucketAt(nowMs).index;
    const std::size_t regionIndex = std::min(region, maxRegions - 1);
    const WindowCount present = countIn(regionIndex, index - bucketsPerWindow + 1, index);
    const WindowCount previous = countIn(regionIndex, index - 2 * bucketsPerWindow + 1, index - bucketsPerWindow);
    if (previous.total < minRequests) {
        return true;
    }
    const double allowed = previous.region / previous.total + usedFraction * maxShift_;
    return present.region + 1 <= allowed * std::max(present.total + 1, minRequests);
}

} // namespace Wasabistair::Steering
