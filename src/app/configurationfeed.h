#pragma once

#include "engine.h"

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

/// Brings generations and the list of VMs into this process, from the platform and from peers.
///
/// Relays of a zone, and VMs that hear no relay, ask the platform; the others get news from their
/// relays and ask the platform rarely. A generation seen anywhere is fetched at once, from peers or the
/// platform, whichever has it.
class ConfigurationFeed
{
public:
    static constexpr int watchMs = 10'000;
    static constexpr std::int64_t listIntervalMs = 1'500;
    /// Interval of a VM that is served by its relays, in fleets of up to fleetUnit entry VMs; longer in
    /// larger ones, so that the platform's load does not grow with them.
    static constexpr std::int64_t servedIntervalMs = 30'000;
    static constexpr std::int64_t fleetUnit = 50;
    static constexpr std::size_t maxEarlierLists = 16;
    static constexpr std::int64_t firstBackoffMs = 250;
    static constexpr std::int64_t maxBackoffMs = 4'000;
    static constexpr Base::MonotonicMs partTimeoutMs = 1'500;

    ConfigurationFeed(Platform::ObjectStore &store, const Base::Clock &clock, Base::Timeline &timeline, Nodes::Mesh &mesh, Nodes::GenerationStore &generations,
        Platform::SlotClaim &slot, Engine &engine, std::size_t seeds, std::uint64_t randomSeed);
    ~ConfigurationFeed();

    void start();
    void stop();
    /// A peer has this generation.
    void generationSeen(std::uint64_t generation, const std::string &manifestDigest);
    /// A peer sent this list.
    void listSeen(const Platform::ListDelta &delta);
    /// For peers whose list is older; see MeshHandlers::listDelta.
    [[nodiscard]] Platform::ListDelta listDelta(Platform::Version known) const;
    /// Never null; empty before the first list.
    [[nodiscard]] std::shared_ptr<const Platform::VmList> list() const;
    /// @p milliseconds, lengthened in proportion to the fleet beyond fleetUnit entry VMs.
    [[nodiscard]] std::int64_t scaledByFleet(std::int64_t milliseconds) const;
    [[nodiscard]] bool platformReachable() const;

private:
    std::int64_t watchStep();
    std::int64_t listStep();
    std::int64_t loadStep();
    void offer(const Nodes::GenerationId &candidate);
    [[nodiscard]] Base::MonotonicMs firstHoldMs(const Nodes::GenerationId &candidate) const;
    void takeList(const Platform::VmList &list);
    void notePlatform(bool reachable);
    [[nodiscard]] bool asksPlatform() const;
    [[nodiscard]] bool mayTakeFirst() const;
    [[nodiscard]] std::optional<std::string> fetch(const std::string &digest, std::uint64_t generation);
    [[nodiscard]] std::int64_t jittered(std::int64_t milliseconds);

    Platform::ObjectStore &store_;
    const Base::Clock &clock_;
    Base::Timeline &timeline_;
    Nodes::Mesh &mesh_;
    Nodes::GenerationStore &generations_;
    Platform::SlotClaim &slot_;
    Engine &engine_;
    const std::size_t seeds_;
    std::atomic<std::uint64_t> random_;

    std::atomic<bool> stopping_{false};
    std::atomic<bool> platformReachable_{false};
    std::atomic<bool> platformAsked_{false};
    std::atomic<std::int64_t> backoffMs_{firstBackoffMs};
    Platform::Version headVersion_ = Platform::noVersion;

    mutable std::mutex mutex_;
    std::shared_ptr<const Platform::VmList> list_ = std::make_shared<const Platform::VmList>();
    // Earlier lists, newest last, so that peers get what changed instead of the whole.
    std::deque<std::shared_ptr<const Platform::VmList>> earlierLists_;
    std::optional<Nodes::GenerationId> candidate_;
    // History of the head as last read from the platform.
    Platform::Head head_;
    std::uint64_t refusalReported_ = 0;

    std::unique_ptr<Base::Worker> watcher_;
    std::unique_ptr<Base::Worker> lister_;
    std::unique_ptr<Base::Worker> loader_;
};

} // namespace Wasabistair::App
