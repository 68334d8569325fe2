#include "histogram.h"

#include <algorithm>
#include <bit>

namespace Wasabistair::Base {

namespace {

constexpr int subBuckets = 4;
constexpr int subBucketBits = 2;

} // namespace

std::uint64_t HistogramCounts::upperBoundUs(int bucket)
{
    if (bucket < subBuckets) {
        return static_cast<std::uint64_t>(bucket) + 1;
    }
    const int exponent = bucket / subBuckets + 1;
    const int subBucket = bucket % subBuckets;
    return (std::uint64_t{1} << exponent) + (static_cast<std::uint64_t>(subBucket + 1) << (exponent - subBucketBits));
}

int HistogramCounts::bucketIndex(std::uint64_t microseconds)
{
    if (microseconds <= subBuckets) {
        return microseconds == 0 ? 0 : static_cast<int>(microseconds) - 1;
    }
    const std::uint64_t value = microseconds - 1;
    const int exponent = std::bit_width(value) - 1;
    const int subBucket = static_cast<int>((value >> (exponent - subBucketBits)) & (subBuckets - 1));
    return std::min((exponent - 1) * subBuckets + subBucket, bucketCount - 1);
}

std::uint64_t HistogramCounts::total() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : buckets) {
        sum += count;
    }
    return sum;
}

std::uint64_t HistogramCounts::quantileUs(double q) const
{
    const std::uint64_t totalCount = total();
    if (totalCount == 0) {
        return 0;
    }
    const auto rank = static_cast<std::uint64_t>(q * static_cast<double>(totalCount - 1));
    std::uint64_t cumulative = 0;
    for (int i = 0; i < bucketCount; ++i) {
        cumulative += buckets[i];
        if (cumulative > rank) {
            return upperBoundUs(i);
        }
    }
    return upperBoundUs(bucketCount - 1);
}

HistogramCounts HistogramCounts::mergedWith(const HistogramCounts &other) const
{
    HistogramCounts sum = *this;
    for (int i = 0; i < bucketCount; ++i) {
        sum.buckets[i] += other.buckets[i];
    }
    return sum;
}

void Histogram::record(std::uint64_t microseconds)
{
    buckets_[HistogramCounts::bucketIndex(microseconds)].fetch_add(1, std::memory_order_relaxed);
}

HistogramCounts Histogram::counts() const
{
    HistogramCounts copy;
    for (int i = 0; i < HistogramCounts::bucketCount; ++i) {
        copy.buckets[i] = buckets_[i].load(std::memory_order_relaxed);
    }
    return copy;
}

} // namespace Wasabistair::Base
