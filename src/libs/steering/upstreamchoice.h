#pragma once

#include "upstreamhealth.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

/// Choice of an upstream for one request: by rendezvous hashing of the affinity key, with limits on the load.
namespace Wasabistair::Steering {

/// State of one upstream, as this VM sees it, at the time of the choice.
struct UpstreamView {
    /// Hash of the upstream's id; the same at every VM.
    std::uint64_t idHash = 0;
    int slots = 1;
    /// Share of its keys that the upstream gets, 0 to 1; grows during its warm-up.
    double ramp = 1;
    /// Estimated running and waiting requests; set by chooseUpstream().
    double load = 0;
    /// Whether the upstream is in this VM's region.
    bool local = false;
    HealthState healthState = HealthState::Healthy;
    /// Must not be used: draining, evacuated, outside the route's home regions, used by an earlier attempt, or at its connection limit.
    bool excluded = false;

    bool operator==(const UpstreamView &) const = default;
};

struct ChoiceQuery {
    /// Hash of the affinity key; random for requests without one.
    std::uint64_t keyHash = 0;
    /// Factor on the weight of local upstreams.
    double localPreference = 1;
    /// Load per slot from which no upstream gets another request.
    double hardLimit = 2;

    auto operator<=>(const ChoiceQuery &) const = default;
};

/// Score of an upstream for a key in weighted rendezvous hashing; the upstream with the lowest score is the key's first choice. Keys are
/// distributed in proportion to @p weight, and a change of the weight moves the smallest possible number of keys.
[[nodiscard]] double rendezvousScore(std::uint64_t idHash, std::uint64_t keyHash, double weight);

/// Indices of the usable upstreams in rendezvous order for the key; at most maxRankedUpstreams.
[[nodiscard]] std::vector<std::size_t> rankUpstreams(const std::vector<UpstreamView> &upstreams, const ChoiceQuery &query);

/// Returns the load of the upstream at an index. Called only for the upstreams that the choice examines.
using LoadFunction = std::function<double(std::size_t)>;
/// Final check of the upstream that is about to be chosen. It consumes from the rate limiters and checks the limit on shifts between
/// regions, so it is called only for candidates that passed all other checks.
using AdmissionPredicate = std::function<bool(std::size_t)>;

/// Chooses the first upstream in @p order (from rankUpstreams()) with free capacity, otherwise the least loaded idle one, otherwise none.
/// Sets the loads of the upstreams in @p order, or of all upstreams when none of those is chosen.
[[nodiscard]] std::optional<std::size_t> chooseUpstream(std::vector<UpstreamView> &upstreams, const std::vector<std::size_t> &order, const ChoiceQuery &query,
    const LoadFunction &loadOf, const AdmissionPredicate &mayUse);

/// Upstreams per key that are examined in rendezvous order.
constexpr std::size_t maxRankedUpstreams = 3;

} // namespace Wasabistair::Steering
