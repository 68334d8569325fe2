#include "finishselection.h"

#include "hash.h"

#include <algorithm>
#include <utility>

namespace Wasabistair::Steering {

namespace {

// Before the first answer nothing is known about the work; only the waiting and the distance then tell candidates apart.
constexpr double assumedWorkMs = 200;
// Without a share of keys for the region yet, all stay in it.
constexpr double wholeShare = 1;
// Upstreams tried when those that the placement names are all full. Each passes through the rate limiters.
constexpr std::size_t maxTried = 16;

bool isUsable(const UpstreamView &view)
{
    return !view.excluded && view.healthState != HealthState::Ejected;
}

std::vector<PlacementUpstream> placementUpstreams(const ServiceSnapshot &service, const std::vector<UpstreamView> &views)
{
    std::vector<PlacementUpstream> result;
    result.reserve(views.size());
    for (std::size_t i = 0; i < views.size(); ++i) {
        const UpstreamSnapshot &upstream = service.upstreams[i];
        result.push_back({upstream.idHash, views[i].slots * views[i].ramp, upstream.distance, upstream.regionIndex, isUsable(views[i])});
    }
    return result;
}

/// Mean duration of the work that waits at the service's upstreams: most of it is for keys that they know.
double meanWorkMs(const WorkFigures &figures)
{
    return expectedWorkMs(figures, KeyKnowledge::ByDesign, assumedWorkMs);
}

} // namespace

KeyKnowledge FinishOrder::knowledgeOf(std::size_t index) const
{
    const auto found = std::find(order.begin(), order.end(), index);
    return found == order.end() ? KeyKnowledge::Unknown : knowledge[static_cast<std::size_t>(found - order.begin())];
}

FinishOrder orderPlaces(const ServiceSnapshot &service, const std::vector<UpstreamView> &views, const FinishQuery &query)
{
    const PlacementRecord &record = service.record->placement;
    const double share = service.record->localShare.load(std::memory_order_relaxed);
    const std::vector<PlacedCandidate> placed
        = placeKey(placementUpstreams(service, views), {query.keyHash, record.copiesPerZone(), share < 0 ? wholeShare : share});
    const WorkFigures figures = record.figures();
    std::vector<FinishCandidate> candidates;
    std::vector<KeyKnowledge> knowledgeOf(views.size(), KeyKnowledge::Unknown);
    for (const PlacedCandidate &candidate : placed) {
        const UpstreamSnapshot &upstream = service.upstreams[candidate.index];
        KeyKnowledge &knowledge = knowledgeOf[candidate.index];
        if (query.hasKey) {
            knowledge = record.knowledgeOf(query.keyHash, upstream.idHash, candidate.byDesign, query.nowMs);
        }
        FinishFigures finish;
        finish.networkMs = expectedNetworkMs(figures, upstream.distance);
        // The key is to become known at a preferred upstream, so a first slow answer from there is no reason to go elsewhere.
        finish.workMs = candidate.preferred && query.hasKey && figures.answers > 0 ? figures.knownMs : expectedWorkMs(figures, knowledge, assumedWorkMs);
        finish.meanWorkMs = meanWorkMs(figures);
        finish.pacePercent = upstream.record->pacePercentAt(query.nowMs);
        finish.load = estimatedLoad(service, upstream, true, query.nowMs);
        finish.slots = upstream.entry.slots;
        candidates.push_back({candidate.index, candidate.preferred, expectedFinishMs(finish)});
    }
    FinishOrder result;
    if (placed.empty()) {
        return result;
    }
    result.home = placed.front().index;
    orderByFinish(candidates, query.objectiveMs, mixedHash(query.keyHash ^ query.vmHash) + static_cast<std::uint64_t>(query.nowMs));
    for (const FinishCandidate &candidate : candidates) {
        result.order.push_back(candidate.index);
        result.knowledge.push_back(knowledgeOf[candidate.index]);
    }
    return result;
}

std::optional<std::size_t> chooseByFinish(std::vector<UpstreamView> &upstreams, const std::vector<std::size_t> &order, const ChoiceQuery &query,
    const LoadFunction &loadOf, const AdmissionPredicate &mayUse)
{
    const auto hasRoom = [&](std::size_t index) {
        upstreams[index].load = loadOf(index);
        return upstreams[index].load < query.hardLimit * upstreams[index].slots;
    };
    for (const std::size_t index : order) {
        if (hasRoom(index) && mayUse(index)) {
            return index;
        }
    }
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        if (isUsable(upstreams[i]) && hasRoom(i) && std::find(order.begin(), order.end(), i) == order.end()) {
            others.push_back(i);
        }
    }
    // Near equals in an order of the key's own, so that VMs with the same reports don't all choose the same one.
    const auto rank = [&](std::size_t index) {
        return std::pair(static_cast<int>(upstreams[index].load / upstreams[index].slots), mixedHash(upstreams[index].idHash ^ query.keyHash));
    };
    const std::size_t tried = std::min(maxTried, others.size());
    std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(tried), others.end(),
        [&](std::size_t left, std::size_t right) { return rank(left) < rank(right); });
    const auto end = others.begin() + static_cast<std::ptrdiff_t>(tried);
    const auto chosen = std::find_if(others.begin(), end, mayUse);
    return chosen == end ? std::nullopt : std::optional(*chosen);
}

} // namespace Wasabistair::Steering
