#pragma once

#include "routingengine.h"

#include <base/timeline.h>
#include <base/worker.h>
#include <nodes/generationstore.h>
#include <nodes/mesh.h>
#include <platform/objectstore.h>
#include <platform/publication.h>
#include <platform/slotclaim.h>
#include <platform/vmlist.h>

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Wasabistair::App {

/// Keeps this process's configuration generation and list of VMs up to date, from the platform and from peers.
///
/// Relays of a zone, and VMs that receive no heartbeats from a relay, watch the platform. The others get
/// changes from their relays and poll the platform at long intervals. A newer generation is fetched as soon
/// as any source announces it, from peers first and then from the platform.
class ConfigurationFeed
{
public:
    static constexpr int watchTimeoutMs = 10'000;
    static constexpr std::int64_t listIntervalMs = 1'500;
    /// Interval at which a VM that gets changes from its relays polls the platform, in fleets of up to baseFleetSize
    /// entry VMs. Larger fleets use longer intervals, so that the platform's load does not grow with the fleet.
    static constexpr std::int64_t relayedIntervalMs = 30'000;
    static constexpr std::int64_t baseFleetSize = 50;
    static constexpr std::size_t maxEarlierLists = 16;
    static constexpr std::int64_t initialBackoffMs = 250;
    static constexpr std::int64_t maxBackoffMs = 4'000;
    static constexpr Base::MonotonicMs partTimeoutMs = 1'500;

    ConfigurationFeed(Platform::ObjectStore &store, const Base::Clock &clock, Base::Timeline &timeline, Nodes::Mesh &mesh, Nodes::GenerationStore &generations,
        Platform::SlotClaim &slot, RoutingEngine &engine, std::size_t seedCount, std::uint64_t randomSeed);
    ~ConfigurationFeed();

    void start();
    void stop();
    /// A peer announced that it uses this generation.
    void onPeerGeneration(std::uint64_t generation, const std::string &manifestDigest);
    /// A peer sent changes of the list of VMs.
    void onPeerVmList(const Platform::ListDelta &delta);
    /// Changes since version @p knownVersion, for peers with an older list; see MeshHandlers::listDelta.
    [[nodiscard]] Platform::ListDelta listDelta(Platform::Version knownVersion) const;
    /// Never null; empty before the first list.
    [[nodiscard]] std::shared_ptr<const Platform::VmList> list() const;
    /// @p milliseconds, scaled up in proportion to the fleet size in fleets of more than baseFleetSize entry VMs.
    [[nodiscard]] std::int64_t scaledByFleet(std::int64_t milliseconds) const;
    [[nodiscard]] bool platformReachable() const;

private:
    std::int64_t watchStep();
    std::int64_t listStep();
    std::int64_t loadStep();
    void offerCandidate(const Nodes::GenerationId &candidate);
    [[nodiscard]] Base::MonotonicMs firstHoldMs(const Nodes::GenerationId &candidate) const;
    void applyList(const Platform::VmList &list);
    void recordPlatformCall(bool reachable);
    [[nodiscard]] bool queriesPlatform() const;
    [[nodiscard]] bool mayApplyFirstGeneration() const;
    [[nodiscard]] std::optional<std::string> fetch(const std::string &digest, std::uint64_t generation);
    [[nodiscard]] std::int64_t jittered(std::int64_t milliseconds);

    Platform::ObjectStore &store_;
    const Base::Clock &clock_;
    Base::Timeline &timeline_;
    Nodes::Mesh &mesh_;
    Nodes::GenerationStore &generations_;
    Platform::SlotClaim &slot_;
    RoutingEngine &engine_;
    const std::size_t seedCount_;
    std::atomic<std::uint64_t> random_;

    std::atomic<bool> stopping_{false};
    std::atomic<bool> platformReachable_{false};
    std::atomic<bool> platformAnswered_{false};
    std::atomic<std::int64_t> backoffMs_{initialBackoffMs};
    Platform::Version headVersion_ = Platform::noVersion;

    mutable std::mutex mutex_;
    std::shared_ptr<const Platform::VmList> list_ = std::make_shared<const Platform::VmList>();
    // Earlier lists, newest last. Peers that have one of them are sent only the changes.
    std::deque<std::shared_ptr<const Platform::VmList>> earlierLists_;
    std::optional<Nodes::GenerationId> candidate_;
    // The platform's head object, with its history of generations, as last read.
    Platform::Head head_;
    std::uint64_t lastReportedRejection_ = 0;

    std::unique_ptr<Base::Worker> watcher_;
    std::unique_ptr<Base::Worker> lister_;
    std::unique_ptr<Base::Worker> loader_;
};

} // namespace Wasabistair::App
