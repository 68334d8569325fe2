#include "keyplacement.h"

#include "hash.h"
#include "keycopies.h"
#include "upstreamchoice.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>

namespace Wasabistair::Steering {

namespace {

constexpr std::uint64_t homeSeed = 0x686f6d65ULL;
constexpr std::uint64_t regionSeed = 0x726567696f6eULL;
// Upstreams of the own zone that are examined after those that know the key.
constexpr std::size_t furtherInZone = 1;
// Upstreams that are examined in another zone of the region, and in each other region.
constexpr std::size_t examinedElsewhere = 2;
// Part of the objective within which an answer should come: the rest is for the way to the caller and for longer work than expected.
constexpr double usedPartOfObjective = 0.85;
// Expected finishes that differ by less than this part are equal as far as a VM can tell.
constexpr double nearlyEqual = 0.2;
constexpr double unitScale = 1.0 / 18446744073709551616.0; // 2^-64

double unitPoint(std::uint64_t hash)
{
    return static_cast<double>(mixedHash(hash)) * unitScale;
}

struct Scored {
    double score = 0;
    std::size_t index = 0;
    auto operator<=>(const Scored &) const = default;
};

struct RankedPlaces {
    std::vector<Scored> ownZone;
    std::vector<Scored> restOfRegion;
    std::map<std::size_t, std::vector<Scored>> otherRegions;
};

/// The @p count first of @p scored, in order.
void keepFirst(std::vector<Scored> &scored, std::size_t count)
{
    count = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end());
    scored.resize(count);
}

/// The region that the key's requests go to if not to the own one; weighted by room.
std::size_t homeAbroad(const std::vector<PlacementUpstream> &upstreams, const RankedPlaces &places, std::uint64_t keyHash)
{
    std::map<std::size_t, double> weights;
    for (const PlacementUpstream &upstream : upstreams) {
        if (upstream.usable && upstream.distance == Distance::OtherRegion) {
            weights[upstream.region] += upstream.weight;
        }
    }
    std::size_t home = places.otherRegions.begin()->first;
    double best = HUGE_VAL;
    for (const auto &[region, weight] : weights) {
        const double score = rendezvousScore(mixedHash(regionSeed + region), keyHash, weight);
        if (score < best) {
            best = score;
            home = region;
        }
    }
    return home;
}

void append(std::vector<PlacedCandidate> &result, const std::vector<Scored> &places, std::size_t designed, bool preferred)
{
    for (std::size_t rank = 0; rank < places.size(); ++rank) {
        result.push_back({places[rank].index, rank < designed, preferred && rank < designed});
    }
}

} // namespace

std::vector<PlacedCandidate> placeKey(const std::vector<PlacementUpstream> &upstreams, const PlacementQuery &query)
{
    RankedPlaces places;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        const PlacementUpstream &upstream = upstreams[i];
        if (!upstream.usable) {
            continue;
        }
        const Scored scored{rendezvousScore(upstream.idHash, query.keyHash, upstream.weight), i};
        if (upstream.distance == Distance::OwnZone) {
            places.ownZone.push_back(scored);
        } else if (upstream.distance == Distance::OwnRegion) {
            places.restOfRegion.push_back(scored);
        } else {
            places.otherRegions[upstream.region].push_back(scored);
        }
    }
    const auto copies = static_cast<std::size_t>(copiesOfKey(query.copiesPerZone, query.keyHash));
    const std::size_t designed = std::max<std::size_t>(1, copies);
    keepFirst(places.ownZone, designed + furtherInZone);
    keepFirst(places.restOfRegion, examinedElsewhere);
    for (auto &[region, scored] : places.otherRegions) {
        keepFirst(scored, examinedElsewhere);
    }
    const bool hasLocal = !places.ownZone.empty() || !places.restOfRegion.empty();
    const bool stays = hasLocal && (places.otherRegions.empty() || unitPoint(query.keyHash ^ homeSeed) < query.localShare);
    // With one copy for the region, it is at the first of all the region's upstreams.
    const bool zoneHasIt = copies > 0 || places.restOfRegion.empty() || (!places.ownZone.empty() && places.ownZone.front() < places.restOfRegion.front());
    const bool restHasIt = copies > 0 || places.ownZone.empty() || !zoneHasIt;
    std::vector<PlacedCandidate> result;
    append(result, places.ownZone, zoneHasIt ? designed : 0, stays);
    append(result, places.restOfRegion, restHasIt ? 1 : 0, stays && (copies == 0 || places.ownZone.empty()));
    const std::size_t abroad = !places.otherRegions.empty() && !stays ? homeAbroad(upstreams, places, query.keyHash) : SIZE_MAX;
    for (const auto &[region, scored] : places.otherRegions) {
        append(result, scored, 1, region == abroad);
    }
    std::stable_partition(result.begin(), result.end(), [](const PlacedCandidate &candidate) { return candidate.preferred; });
    return result;
}

void orderByFinish(std::vector<FinishCandidate> &candidates, std::int64_t objectiveMs, std::uint64_t seed)
{
    const auto drawn
        = [&](const FinishCandidate &candidate) { return candidate.finishMs * (1 + nearlyEqual * unitPoint(seed ^ mixedHash(candidate.index + 1))); };
    const auto inTime = [&](const FinishCandidate &candidate) {
        return candidate.preferred && (objectiveMs <= 0 || candidate.finishMs <= usedPartOfObjective * static_cast<double>(objectiveMs));
    };
    std::sort(candidates.begin(), candidates.end(),
        [&](const FinishCandidate &left, const FinishCandidate &right) { return inTime(left) != inTime(right) ? inTime(left) : drawn(left) < drawn(right); });
}

} // namespace Wasabistair::Steering
