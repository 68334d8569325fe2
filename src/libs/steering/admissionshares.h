#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace Wasabistair::Steering {

/// How many requests each group (a team or a route) of a service asked for lately, and how many of them were sent. Counts fade within
/// seconds. Bounded memory: groups are told apart by a hash, and those that share an entry count as one. Not thread-safe.
class AdmissionShares
{
public:
    void countAsked(std::uint64_t groupHash, std::int64_t nowMs);
    void countServed(std::uint64_t groupHash, std::int64_t nowMs);
    /// Whether the part of the group's requests that were served is far below the average over all groups that asked, at about a quarter.
    [[nodiscard]] bool isUnderserved(std::uint64_t groupHash, std::int64_t nowMs) const;

private:
    struct Counts {
        double asked = 0;
        double served = 0;
        std::int64_t updatedAtMs = 0;
    };

    [[nodiscard]] static Counts fadedTo(const Counts &counts, std::int64_t nowMs);
    void add(std::uint64_t groupHash, double asked, double served, std::int64_t nowMs);

    static constexpr std::size_t maxGroups = 256;
    std::array<Counts, maxGroups> groups_{};
    Counts total_;
};

} // namespace Wasabistair::Steering
