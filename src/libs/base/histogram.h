#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

namespace Wasabistair::Base {

/// Counts of a latency histogram. Bucket i holds values up to upperBoundUs(i).
/// Counts of two processes merge by addition, without loss.
struct HistogramCounts {
    static constexpr int bucketCount = 112;

    std::vector<std::uint64_t> buckets = std::vector<std::uint64_t>(bucketCount, 0);

    bool operator==(const HistogramCounts &) const = default;

    /// Upper bound of a bucket in microseconds: four buckets for each power of two, from 1 µs.
    [[nodiscard]] static std::uint64_t upperBoundUs(int bucket);
    [[nodiscard]] static int bucketOf(std::uint64_t microseconds);
    [[nodiscard]] std::uint64_t total() const;
    /// Upper bound, in microseconds, of the bucket that holds quantile @p q (0 to 1); 0 when empty.
    [[nodiscard]] std::uint64_t quantileUs(double q) const;
    [[nodiscard]] HistogramCounts mergedWith(const HistogramCounts &other) const;
};

/// Concurrent recorder of a histogram; wait-free.
class Histogram
{
public:
    void record(std::uint64_t microseconds);
    [[nodiscard]] HistogramCounts counts() const;

private:
    std::array<std::atomic<std::uint64_t>, HistogramCounts::bucketCount> buckets_{};
};

} // namespace Wasabistair::Base
