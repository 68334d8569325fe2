#pragma once

#include "entryoptions.h"
#include "infoserver.h"

#include <callers/entryserver.h>
#include <nodes/peerboard.h>
#include <nodes/peerlink.h>
#include <platform/platformfeed.h>
#include <platform/registration.h>
#include <platform/settingsfile.h>

#include <prometheus/registry.h>

#include <atomic>
#include <memory>
#include <optional>
#include <random>

namespace Wasabistair::App {

/// One entry VM on the users' platform: everything that it serves, and its start and stop.
class EntryNode
{
public:
    /// Listens at once; is ready when it knows a manifest. Throws Poco::Net::NetException when an address can't be used.
    EntryNode(const Adapter::MachineSettings &settings, const EntryOptions &options, const Base::Clock &clock, std::uint64_t seed);

    /// Takes no more callers, and returns when requests have ended or the platform's grace is nearly over.
    void stop();
    /// Reads the settings file again; says so in the log when it was @p asked to or something changed.
    void reload(const std::string &path, bool asked);
    /// Work of every second or so; call often.
    void tick();

private:
    [[nodiscard]] InfoAnswer respond(const std::string &target);
    [[nodiscard]] InfoAnswer lookup(const std::string &target);
    [[nodiscard]] InfoAnswer metricsText() const;
    [[nodiscard]] bool isReady() const;
    void onRoster(std::shared_ptr<const Steering::Roster> roster);
    void updateLocalShares(Base::MonotonicMs now);
    void logLeftOut();

    const Adapter::MachineSettings settings_;
    /// The settings file as it was read last; what changed takes effect at the next start.
    Adapter::MachineSettings lastRead_;
    const EntryOptions options_;
    const Base::Clock &clock_;
    const Steering::EntryVm self_;
    std::atomic<Base::MonotonicMs> stopDeadline_{0};
    std::atomic<Base::MonotonicMs> refuseAfter_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<int> active_{0};
    std::atomic<int> aheadThreads_{0};
    std::atomic<std::uint64_t> sequence_{0};
    Base::MonotonicMs sharesUpdatedAt_ = 0;
    std::shared_ptr<prometheus::Registry> registry_;
    Callers::PassMetrics metrics_;
    Base::RcuPointer<Steering::Roster> roster_;
    Upstreams::ChannelPool channels_;
    Steering::RegionFlow flow_;
    /// Of requests that were read and of answers to them.
    Base::MemoryBudget memory_;
    Base::LogBudget failureLog_;
    Base::LogBudget sampleLog_;
    Callers::PassContext passContext_;
    Callers::SessionContext sessionContext_;
    Nodes::PeerBoard board_;
    Nodes::NewsLedger news_;
    Nodes::PeerLink link_;
    Adapter::StoreCallCounters storeCalls_;
    Adapter::PlatformFeed feed_;
    Adapter::Registration registration_;
    std::mutex randomMutex_;
    std::mt19937_64 random_;
    InfoServer readiness_;
    InfoServer lookups_;
    InfoServer metricsServer_;
    Callers::EntryServer entry_;
};

} // namespace Wasabistair::App
