#pragma once

#include "keyplacement.h"
#include "routingsnapshot.h"
#include "upstreamchoice.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

/// Choice of the upstream that is expected to answer first, for services whose upstreams are uneven.
namespace Wasabistair::Steering {

struct FinishQuery {
    std::uint64_t keyHash = 0;
    /// Latency objective of the route, in ms; 0: none.
    std::int64_t objectiveMs = 0;
    /// Hash of this VM's name.
    std::uint64_t vmHash = 0;
    bool hasKey = true;
    std::int64_t nowMs = 0;

    auto operator<=>(const FinishQuery &) const = default;
};

/// Upstreams in the order in which they are to be tried.
struct FinishOrder {
    std::vector<std::size_t> order;
    /// For each of order, why it is expected to know the key.
    std::vector<KeyKnowledge> knowledge;
    /// The upstream that the request goes to if all are idle.
    std::size_t home = 0;

    [[nodiscard]] KeyKnowledge knowledgeOf(std::size_t index) const;
    bool operator==(const FinishOrder &) const = default;
};

/// Orders the few candidates for the key by expected finish. Empty if no upstream is usable.
[[nodiscard]] FinishOrder orderPlaces(const ServiceSnapshot &service, const std::vector<UpstreamView> &views, const FinishQuery &query);

/// Chooses the first in @p order whose queue has room, otherwise the least loaded upstream that has. Sets the loads of those examined.
[[nodiscard]] std::optional<std::size_t> chooseByFinish(std::vector<UpstreamView> &upstreams, const std::vector<std::size_t> &order, const ChoiceQuery &query,
    const LoadFunction &loadOf, const AdmissionPredicate &mayUse);

} // namespace Wasabistair::Steering
