#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <mutex>
#include <vector>

namespace Wasabistair::Steering {

/// Slots and load of a service in this VM's region (local) and in the others (remote), as this VM estimates them.
struct RegionCapacity {
    double localSlots = 0;
    double remoteSlots = 0;
    /// Running and waiting requests per slot.
    double localLoad = 0;
    double remoteLoad = 0;

    auto operator<=>(const RegionCapacity &) const = default;
};

/// Share of a service's keys that this VM sends to its own region, 0 to 1. @p regions is the number of regions.
[[nodiscard]] double initialLocalShare(const RegionCapacity &room, int regions);
/// The share @p elapsedMs after it was @p share. It changes slowly, because requests must not shift between regions faster than the limit
/// on regional shifts.
[[nodiscard]] double nextLocalShare(double share, const RegionCapacity &room, std::int64_t elapsedMs);

/// Like nextLocalShare(), but follows the room before requests wait: for services whose upstreams are uneven.
[[nodiscard]] double nextShareByRoom(double share, const RegionCapacity &room, std::int64_t elapsedMs);

/// Factor on the weights of local upstreams that results in @p share.
[[nodiscard]] double localPreference(double share, const RegionCapacity &room);

/// Counts requests per region and limits how fast requests shift to another region when their own is overloaded. Thread-safe.
class RegionShiftLimiter
{
public:
    /// @p maxShift is the largest increase of a region's share of requests between two adjacent windows.
    RegionShiftLimiter(double maxShift, std::int64_t windowMs);

    /// Sets the limit that applies from now on.
    void setMaxShift(double maxShift);
    /// Counts one request sent to @p region.
    void count(std::size_t region, std::int64_t nowMs);
    /// Whether one more request may go to @p region without exceeding the limit.
    [[nodiscard]] bool allowsShiftTo(std::size_t region, std::int64_t nowMs);

private:
    static constexpr std::size_t maxRegions = 16;
    static constexpr int bucketsPerWindow = 4;

    struct Bucket {
        std::int64_t index = -1;
        std::array<std::int32_t, maxRegions> counts{};
        std::int32_t total = 0;
    };

    struct WindowCount {
        double region = 0;
        double total = 0;
    };

    Bucket &bucketAt(std::int64_t nowMs);
    [[nodiscard]] WindowCount countIn(std::size_t region, std::int64_t firstIndex, std::int64_t lastIndex) const;

    const std::int64_t bucketMs_;
    std::mutex mutex_;
    double maxShift_;
    std::array<Bucket, static_cast<std::size_t>(2 * bucketsPerWindow)> buckets_{};
};

} // namespace Wasabistair::Steering
