#pragma once

#include "placementwork.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

/// Which upstreams should know a key, zone by zone, and which of them gets a request.
namespace Wasabistair::Steering {

/// An upstream, as the placement of keys sees it.
struct PlacementUpstream {
    std::uint64_t idHash = 0;
    /// Slots, fewer while it warms up.
    double weight = 1;
    Distance distance = Distance::OwnZone;
    std::size_t region = 0;
    bool usable = true;

    auto operator<=>(const PlacementUpstream &) const = default;
};

struct PlacementQuery {
    std::uint64_t keyHash = 0;
    /// See KeyCopies::perZone.
    double copiesPerZone = 0.5;
    /// Share of the keys that stay in this VM's region.
    double localShare = 1;

    auto operator<=>(const PlacementQuery &) const = default;
};

struct PlacedCandidate {
    std::size_t index = 0;
    /// Whether the placement puts the key there: it is one of the first of its zone or region.
    bool byDesign = false;
    /// Whether requests of this VM should go there as long as it answers in time.
    bool preferred = false;

    auto operator<=>(const PlacedCandidate &) const = default;
};

/// The few upstreams to examine for the key, preferred ones first. The order within a zone is the same at every VM. A change of the share
/// or of the copies moves the smallest possible number of keys.
[[nodiscard]] std::vector<PlacedCandidate> placeKey(const std::vector<PlacementUpstream> &upstreams, const PlacementQuery &query);

/// One candidate with what is expected of it.
struct FinishCandidate {
    std::size_t index = 0;
    bool preferred = false;
    double finishMs = 0;

    auto operator<=>(const FinishCandidate &) const = default;
};

/// Orders @p candidates: preferred ones that finish within @p objectiveMs, then all others by expected finish. Near equals come in an order
/// drawn by @p seed, so that VMs don't all choose the same one. An objective of 0 is none.
void orderByFinish(std::vector<FinishCandidate> &candidates, std::int64_t objectiveMs, std::uint64_t seed);

} // namespace Wasabistair::Steering
