#pragma once

#include "coldstartshare.h"
#include "regionpreference.h"
#include "routingsnapshot.h"
#include "upstreamchoice.h"

#include <compare>
#include <cstdint>
#include <limits>
#include <string_view>
#include <vector>

namespace Wasabistair::Steering {

constexpr double noLoadLimit = std::numeric_limits<double>::infinity();

/// One request that needs an upstream.
struct SelectionQuery {
    RequestRules rules;
    /// Hash of the affinity key; random for requests without one.
    std::uint64_t keyHash = 0;
    /// Id hashes of the upstreams that earlier attempts were sent to.
    std::vector<std::uint64_t> attempted;
    std::int64_t nowMs = 0;
    /// Load per slot of an upstream up to which the request may be sent to it, if that is less than the limit of its priority.
    double maxLoadPerSlot = noLoadLimit;
    /// Whether the caller named an affinity key.
    bool hasKey = true;
};

enum class SelectionOutcome {
    Selected,
    /// No upstream of the service takes requests.
    NoUpstream,
    /// All upstreams that take requests are overloaded.
    AllOverloaded,
};

[[nodiscard]] std::string_view toString(SelectionOutcome end);

struct Selection {
    SelectionOutcome end = SelectionOutcome::NoUpstream;
    const UpstreamSnapshot *upstream = nullptr;
    /// Estimated load per slot of the upstream, or of the least loaded one when all are overloaded.
    double loadPerSlot = 0;
    /// How often the limit that an upstream states kept this request from it.
    int heldBack = 0;
    /// Number of upstreams that were left out because they asked for a pause.
    int pausing = 0;
    /// Time in ms until the first upstream admits a request, if all upstreams that take requests state a limit or asked for a pause; else 0.
    std::int64_t admissionInMs = 0;
    /// Why the upstream is expected to know the key, if keys are placed by zone.
    KeyKnowledge knowledge = KeyKnowledge::Unknown;

    bool operator==(const Selection &) const = default;
};

/// Fleet-wide limits on requests to cold upstreams; each VM uses its share.
struct SelectorLimits {
    /// Tolerated multiple of the service's rate for cold upstreams.
    double coldFactor = 1.5;
    /// Requests per second tolerated beyond that.
    double coldSlack = 5;
    PlacementMode placement = PlacementMode::Auto;

    auto operator<=>(const SelectorLimits &) const = default;
};

/// Selects an upstream of @p service. Counts the selection in @p flow and in the upstream's rate limiters.
[[nodiscard]] Selection selectUpstream(const RoutingSnapshot &snapshot, const ServiceSnapshot &service, const SelectionQuery &query,
    const SelectorLimits &bounds, RegionShiftLimiter &regionShiftLimiter);

} // namespace Wasabistair::Steering
