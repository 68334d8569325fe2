#include "placementrecord.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// Above this load per slot a request may have waited at the upstream, and the time until its answer tells little about its work.
constexpr double maxTeachingLoad = 0.9;

// Of upstreams that don't state their pace.
constexpr int usualPacePercent = 100;

} // namespace

void PlacementRecord::recordAnswer(const PlacementAnswer &answer, const ReportedLoad &load)
{
    if (load.waiting == 0 && answer.loadPerSlot < maxTeachingLoad) {
        const std::lock_guard lock(mutex_);
        figures_ = afterAnswer(figures_, {answer.tookMs, load.pacePercent.value_or(usualPacePercent), answer.knowledge, answer.distance});
    }
    if (answer.hasKey) {
        recentKeys_.record(answer.keyHash, answer.upstreamHash, answer.distance != Distance::OtherRegion, answer.nowMs);
    }
}

void PlacementRecord::recordLoad(Distance distance, const ReportedLoad &load, std::int64_t nowMs)
{
    if (load.pacePercent) {
        reportsPace_.store(true, std::memory_order_relaxed);
    }
    (distance == Distance::OtherRegion ? remoteLoad_ : localLoad_).record(load, nowMs);
}

bool PlacementRecord::reportsPace() const
{
    return reportsPace_.load(std::memory_order_relaxed);
}

WorkFigures PlacementRecord::figures() const
{
    const std::lock_guard lock(mutex_);
    return figures_;
}

KeyKnowledge PlacementRecord::knowledgeOf(std::uint64_t keyHash, std::uint64_t upstreamHash, bool byDesign, std::int64_t nowMs) const
{
    if (recentKeys_.contains(keyHash, upstreamHash, nowMs)) {
        return KeyKnowledge::UsedLately;
    }
    return byDesign ? KeyKnowledge::ByDesign : KeyKnowledge::Unknown;
}

double PlacementRecord::loadPerSlotAt(bool local, std::int64_t nowMs) const
{
    return (local ? localLoad_ : remoteLoad_).at(nowMs);
}

double PlacementRecord::copiesPerZone() const
{
    return copiesPerZone_.load(std::memory_order_relaxed);
}

CopyFigures PlacementRecord::updateCopies(double loadPerSlot, int upstreamsInRegion, std::int64_t elapsedMs, std::int64_t nowMs)
{
    const WorkFigures work = figures();
    CopyFigures seen;
    seen.forgottenRate = 1 - work.hitRates.at(static_cast<std::size_t>(KeyKnowledge::UsedLately));
    seen.keysPerUpstream = static_cast<double>(recentKeys_.countInRegion(nowMs)) / std::max(1, upstreamsInRegion);
    seen.loadPerSlot = loadPerSlot;
    // Where keys make no difference, further copies cost nothing but gain nothing either.
    if (doKeysMatter(work)) {
        copies_ = nextKeyCopies(copies_, seen, elapsedMs);
        copiesPerZone_.store(copies_.perZone, std::memory_order_relaxed);
    }
    return seen;
}

} // namespace Wasabistair::Steering
