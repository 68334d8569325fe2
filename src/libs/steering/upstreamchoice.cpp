#include "upstreamchoice.h"

#include "hash.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace Wasabistair::Steering {

namespace {

// Load per slot up to which the first, second and third upstream of a key get one more request. Waiting for an upstream that has the
// object in its cache costs less than running at one that doesn't, so the first limit is the highest.
constexpr std::array<double, maxRankedUpstreams> rankedLoadLimits = {3.4, 1.5, 0.7};
// Load per slot up to which any other upstream gets the request. Without the object in its cache it takes several times as long, so
// only idle upstreams are used.
constexpr double idleLoadLimit = 0.4;

bool isUsable(const UpstreamView &view)
{
    return !view.excluded && view.healthState != HealthState::Ejected;
}

double weightOf(const UpstreamView &view, const ChoiceQuery &query)
{
    return view.slots * view.ramp * (view.local ? query.localPreference : 1.0);
}

double loadPerSlot(const UpstreamView &view)
{
    return view.load / std::max(1, view.slots);
}

std::optional<std::size_t> chooseRanked(
    const std::vector<UpstreamView> &upstreams, const std::vector<std::size_t> &order, const ChoiceQuery &query, const AdmissionPredicate &mayUse)
{
    for (std::size_t rank = 0; rank < order.size(); ++rank) {
        const UpstreamView &view = upstreams[order[rank]];
        if (loadPerSlot(view) < std::min(rankedLoadLimits[rank], query.hardLimit) && mayUse(order[rank])) {
            return order[rank];
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> chooseIdle(const std::vector<UpstreamView> &upstreams, const ChoiceQuery &query, const AdmissionPredicate &mayUse)
{
    std::vector<std::size_t> idle;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        if (isUsable(upstreams[i]) && loadPerSlot(upstreams[i]) < std::min(idleLoadLimit, query.hardLimit)) {
            idle.push_back(i);
        }
    }
    std::sort(idle.begin(), idle.end(), [&](std::size_t left, std::size_t right) { return loadPerSlot(upstreams[left]) < loadPerSlot(upstreams[right]); });
    const auto chosen = std::find_if(idle.begin(), idle.end(), mayUse);
    return chosen == idle.end() ? std::nullopt : std::optional(*chosen);
}

} // namespace

double rendezvousScore(std::uint64_t idHash, std::uint64_t keyHash, double weight)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    const double uniform = (static_cast<double>(mixedHash(idHash ^ mixedHash(keyHash)) >> 11) + 0.5) * scale;
    return weight > 0 ? -std::log(uniform) / weight : HUGE_VAL;
}

std::vector<std::size_t> rankUpstreams(const std::vector<UpstreamView> &upstreams, const ChoiceQuery &query)
{
    std::vector<std::pair<double, std::size_t>> scored;
    scored.reserve(upstreams.size());
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        if (isUsable(upstreams[i])) {
            scored.emplace_back(rendezvousScore(upstreams[i].idHash, query.keyHash, weightOf(upstreams[i], query)), i);
        }
    }
    const std::size_t count = std::min(maxRankedUpstreams, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end());
    std::vector<std::size_t> order(count);
    std::transform(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), order.begin(), [](const auto &entry) { return entry.second; });
    return order;
}

std::optional<std::size_t> chooseUpstream(std::vector<UpstreamView> &upstreams, const std::vector<std::size_t> &order, const ChoiceQuery &query,
    const LoadFunction &loadOf, const AdmissionPredicate &mayUse)
{
    for (const std::size_t index : order) {
        upstreams[index].load = loadOf(index);
    }
    if (const auto ranked = chooseRanked(upstreams, order, query, mayUse)) {
        return ranked;
    }
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        upstreams[i].load = loadOf(i);
    }
    return chooseIdle(upstreams, query, mayUse);
}

} // namespace Wasabistair::Steering
