#pragma once

#include <array>
#include <atomic>
#include <compare>
#include <cstddef>
#include <cstdint>

/// How many upstreams should know an affinity key, learned from how often answers show that an upstream has forgotten one.
namespace Wasabistair::Steering {

/// Pairs of key and upstream that this VM had an answer from lately. Fixed size; a new pair may displace another. Thread-safe.
class RecentKeys
{
public:
    void record(std::uint64_t keyHash, std::uint64_t upstreamHash, bool inRegion, std::int64_t nowMs);
    [[nodiscard]] bool contains(std::uint64_t keyHash, std::uint64_t upstreamHash, std::int64_t nowMs) const;
    /// Number of pairs used lately whose upstream is in the VM's region.
    [[nodiscard]] int countInRegion(std::int64_t nowMs) const;

private:
    struct Slot {
        std::atomic<std::uint64_t> pair{0};
        std::atomic<std::int64_t> usedAtMs{0};
    };

    // A few times the keys of a service that an entry VM sees in the time for which a pair counts as recent.
    static constexpr std::size_t slotCount = 4'096;
    std::array<Slot, slotCount> slots_{};
};

struct KeyCopies {
    /// Upstreams of each zone that know a key. At fewestCopies, the zones of a region share one. Between two whole numbers, part of the keys
    /// have the higher one.
    double perZone = 1;
    /// Keys of one upstream at which it was seen to forget; 0 if it never was.
    double tooManyKeys = 0;

    auto operator<=>(const KeyCopies &) const = default;
};

/// One copy for the two zones of a region.
constexpr double fewestCopies = 0.5;
// With two, one is on a quiet machine almost always; further ones displace other keys.
constexpr double mostCopies = 2;

/// What this VM observed of the present copies.
struct CopyFigures {
    /// Part of the answers from upstreams used lately for the key that came as slowly as from one that doesn't know it.
    double forgottenRate = 0;
    /// Keys of one upstream of the region, as this VM sees them.
    double keysPerUpstream = 0;
    /// Running and waiting requests per slot of the region's upstreams.
    double loadPerSlot = 0;

    auto operator<=>(const CopyFigures &) const = default;
};

/// The copies @p elapsedMs after they were @p copies. They change slowly, since each new copy of a key costs one slow answer.
[[nodiscard]] KeyCopies nextKeyCopies(KeyCopies copies, const CopyFigures &figures, std::int64_t elapsedMs);

/// Upstreams of a zone that should know the key; 0: one for the whole region.
[[nodiscard]] int copiesOfKey(double perZone, std::uint64_t keyHash);

} // namespace Wasabistair::Steering
