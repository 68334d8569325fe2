#pragma once

#include "coldshare.h"
#include "regionpreference.h"
#include "roster.h"
#include "upstreamchoice.h"

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Wasabistair::Steering {

/// One request that needs an upstream.
struct SelectionQuery {
    const RouteRule *route = nullptr;
    /// Hash of the affinity key; random for requests without one.
    std::uint64_t keyHash = 0;
    /// Id hashes of upstreams that were tried before.
    std::vector<std::uint64_t> tried;
    std::int64_t nowMs = 0;
};

enum class SelectionEnd {
    Selected,
    /// No upstream of the service takes requests.
    NoUpstream,
    /// All that take requests are full.
    AllFull,
};

[[nodiscard]] std::string_view toString(SelectionEnd end);

struct Selection {
    SelectionEnd end = SelectionEnd::NoUpstream;
    const RosterUpstream *upstream = nullptr;
    /// Estimated load of the upstream, or of the least loaded one when all are full; per slot.
    double loadPerSlot = 0;

    bool operator==(const Selection &) const = default;
};

/// Bounds that hold for the sum of all VMs, and of which every VM uses its part.
struct SelectorBounds {
    double coldFactor = 1.5;
    double coldSlack = 5;

    auto operator<=>(const SelectorBounds &) const = default;
};

/// Selects an upstream of @p service. Counts the choice in @p flow and in the upstreams' rate gates.
[[nodiscard]] Selection selectUpstream(
    const Roster &roster, const ServiceRoster &service, const SelectionQuery &query, const SelectorBounds &bounds, RegionFlow &flow);

} // namespace Wasabistair::Steering
