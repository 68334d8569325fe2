#pragma once

#include "upstreamhealth.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

/// Choice of an upstream for one request: by affinity key, bounded by load.
namespace Wasabistair::Steering {

/// One upstream as this VM sees it when it decides.
struct UpstreamView {
    /// Hash of the upstream's id; the same at every VM.
    std::uint64_t idHash = 0;
    int slots = 1;
    /// Part of its keys that it takes, 0 to 1; grows while an upstream joins.
    double ramp = 1;
    /// Running and waiting requests, estimated; set by chooseUpstream.
    double load = 0;
    /// Whether the upstream stands in this VM's region.
    bool local = false;
    Standing standing = Standing::Sound;
    /// Must not be used: leaving, evacuated, not a home, tried before, or out of connections.
    bool excluded = false;

    bool operator==(const UpstreamView &) const = default;
};

struct ChoiceQuery {
    /// Hash of the affinity key; random for requests without one.
    std::uint64_t keyHash = 0;
    /// Factor on the weight of local upstreams.
    double localPreference = 1;
    /// Load per slot up to which a request may be added at all.
    double hardLimit = 2;

    auto operator<=>(const ChoiceQuery &) const = default;
};

/// Rendezvous score of an upstream for a key: the lowest is the key's first choice. Keys spread in proportion to
/// @p weight, and a changed weight moves only the keys that it must.
[[nodiscard]] double rendezvousScore(std::uint64_t idHash, std::uint64_t keyHash, double weight);

/// Indices of usable upstreams in the order of the key; at most rankedLimit.
[[nodiscard]] std::vector<std::size_t> rankUpstreams(const std::vector<UpstreamView> &upstreams, const ChoiceQuery &query);

/// Tells an upstream's load; asked for those only that are looked at.
using LoadOf = std::function<double(std::size_t)>;
/// Decides last about an upstream that would be taken: rate gates and moves between regions are counted there.
using MayUse = std::function<bool(std::size_t)>;

/// The first upstream in @p order, as rankUpstreams gives it, with room; else the least loaded idle one; else nothing. Sets the
/// loads of the upstreams that it looks at: those of the order, or of all.
[[nodiscard]] std::optional<std::size_t> chooseUpstream(
    std::vector<UpstreamView> &upstreams, const std::vector<std::size_t> &order, const ChoiceQuery &query, const LoadOf &loadOf, const MayUse &mayUse);

/// Upstreams of a key that are looked at in its order.
constexpr std::size_t rankedLimit = 3;

} // namespace Wasabistair::Steering
