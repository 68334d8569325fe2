#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <vector>

namespace Wasabistair::Base {

/// Counts of a latency histogram. Bucket i holds the values above upperBoundUs(i - 1) and up to upperBoundUs(i); the last one also holds
/// all larger values.
/// Bucket bounds are fixed, so the counts of two processes merge exactly by addition.
struct HistogramCounts {
    static constexpr int bucketCount = 112;

    std::vector<std::uint64_t> buckets = std::vector<std::uint64_t>(bucketCount, 0);

    bool operator==(const HistogramCounts &) const = default;

    /// Inclusive upper bound of a bucket in microseconds: one bucket per microsecond up to 4 µs, then four buckets per power of two.
    [[nodiscard]] static std::uint64_t upperBoundUs(int bucket);
    [[nodiscard]] static int bucketIndex(std::uint64_t microseconds);
    [[nodiscard]] std::uint64_t total() const;
    /// Upper bound, in microseconds, of the bucket that holds quantile @p q (0 to 1); 0 when empty.
    [[nodiscard]] std::uint64_t quantileUs(double q) const;
    [[nodiscard]] HistogramCounts mergedWith(const HistogramCounts &other) const;
};

/// Histogram that any number of threads record into; wait-free.
class Histogram
{
public:
    void record(std::uint64_t microseconds);
    [[nodiscard]] HistogramCounts counts() const;

private:
    std::array<std::atomic<std::uint64_t>, HistogramCounts::bucketCount> buckets_{};
};

} // namespace Wasabistair::Base
