#pragma once

#include "keycopies.h"
#include "placementwork.h"
#include "serviceload.h"

#include <atomic>
#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>

namespace Wasabistair::Steering {

/// One answer, as the request that it belongs to saw it.
struct PlacementAnswer {
    std::uint64_t keyHash = 0;
    std::uint64_t upstreamHash = 0;
    Distance distance = Distance::OwnZone;
    KeyKnowledge knowledge = KeyKnowledge::Unknown;
    /// Whether the caller named an affinity key.
    bool hasKey = true;
    double tookMs = 0;
    /// Estimated load per slot when the request was sent.
    double loadPerSlot = 0;
    std::int64_t nowMs = 0;

    auto operator<=>(const PlacementAnswer &) const = default;
};

/// What this VM learns of one service for the placement of keys and for expected finishes. Thread-safe, except updateCopies().
class PlacementRecord
{
public:
    /// @p load is what the answer reported.
    void recordAnswer(const PlacementAnswer &answer, const ReportedLoad &load);
    /// Adds a load report, with or without an answer to it.
    void recordLoad(Distance distance, const ReportedLoad &load, std::int64_t nowMs);

    /// Whether an upstream of the service has stated its pace.
    [[nodiscard]] bool reportsPace() const;
    [[nodiscard]] WorkFigures figures() const;
    [[nodiscard]] KeyKnowledge knowledgeOf(std::uint64_t keyHash, std::uint64_t upstreamHash, bool byDesign, std::int64_t nowMs) const;
    /// Mean load per slot in the region of the VM, or in the others.
    [[nodiscard]] double loadPerSlotAt(bool local, std::int64_t nowMs) const;
    /// See KeyCopies::perZone.
    [[nodiscard]] double copiesPerZone() const;

    /// Adapts the copies. Must be called from one thread, several times a second. Returns the figures that it went by.
    CopyFigures updateCopies(double loadPerSlot, int upstreamsInRegion, std::int64_t elapsedMs, std::int64_t nowMs);

private:
    mutable std::mutex mutex_;
    WorkFigures figures_;
    RecentKeys recentKeys_;
    KeyCopies copies_;
    std::atomic<double> copiesPerZone_{KeyCopies().perZone};
    std::atomic<bool> reportsPace_{false};
    ServiceLoad localLoad_;
    ServiceLoad remoteLoad_;
};

} // namespace Wasabistair::Steering
