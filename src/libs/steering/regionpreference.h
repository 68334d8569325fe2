#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <mutex>
#include <vector>

namespace Wasabistair::Steering {

/// Room of a service in this VM's region and elsewhere, as this VM sees it.
struct RegionRoom {
    double localSlots = 0;
    double remoteSlots = 0;
    /// Running and waiting requests per slot.
    double localLoad = 0;
    double remoteLoad = 0;

    auto operator<=>(const RegionRoom &) const = default;
};

/// Share of a service's keys that this VM sends to its own region, 0 to 1.
///
/// Moved slowly, since a region's requests must not change their place faster than the bound on regional shifts.
[[nodiscard]] double initialLocalShare(const RegionRoom &room, int regions);
[[nodiscard]] double nextLocalShare(double share, const RegionRoom &room, std::int64_t elapsedMs);

/// Factor on local upstreams' weights that yields @p share.
[[nodiscard]] double localPreference(double share, const RegionRoom &room);

/// Counts where requests run, and bounds how fast requests move to another region for want of room.
class RegionFlow
{
public:
    /// @p maxShift is the largest change of a region's share between two adjacent windows.
    RegionFlow(double maxShift, std::int64_t windowMs);

    void count(std::size_t region, std::int64_t nowMs);
    /// Whether one more request may go to @p region without exceeding the bound.
    [[nodiscard]] bool mayMoveTo(std::size_t region, std::int64_t nowMs);

private:
    static constexpr std::size_t regionLimit = 16;
    static constexpr int bucketsPerWindow = 4;

    struct Bucket {
        std::int64_t index = -1;
        std::array<std::int32_t, regionLimit> counts{};
        std::int32_t total = 0;
    };

    struct WindowCount {
        double region = 0;
        double total = 0;
    };

    Bucket &bucketAt(std::int64_t nowMs);
    [[nodiscard]] WindowCount countIn(std::size_t region, std::int64_t firstIndex, std::int64_t lastIndex) const;

    const double maxShift_;
    const std::int64_t bucketMs_;
    std::mutex mutex_;
    std::array<Bucket, static_cast<std::size_t>(2 * bucketsPerWindow)> buckets_{};
};

} // namespace Wasabistair::Steering
