#pragma once

#include "entryoptions.h"
#include "infoserver.h"
#include "placementreport.h"

#include <callers/entryserver.h>
#include <nodes/heartbeatexchange.h>
#include <nodes/peermembership.h>
#include <nodes/quotaexchange.h>
#include <platform/platformfeed.h>
#include <platform/registration.h>
#include <platform/settingsfile.h>

#include <prometheus/registry.h>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace Wasabistair::App {

/// The entry VM process on the users' platform: creates and connects all components, and starts, reloads and stops them.
class EntryNode
{
public:
    /// Listens immediately. Throws Poco::Net::NetException if an address can't be bound. @p descriptorLimit: file descriptors that this
    /// process may open.
    EntryNode(const Adapter::VmSettings &settings, const EntryOptions &options, const Base::Clock &clock, std::uint64_t seed, std::int64_t descriptorLimit);

    /// Starts to read the store; the VM is ready once it has a manifest and at least one upstream.
    void start();
    /// Drains this VM, which was asked to stop at @p requestedAt. Returns when no request is active and cached look-up answers have expired,
    /// or shortly before the platform's grace period ends. Requests that arrive afterwards are rejected.
    void stop(Base::MonotonicMs requestedAt);
    /// Ends a VM whose start() failed: rejects new requests and returns when no request is active.
    void abandonStart();
    /// After stop() or abandonStart(): waits until the answers to requests that arrived last, rejections among them, have been sent, or there is no time
    /// left for them. The process may exit then.
    void awaitLastAnswers() const;
    /// Reads the settings file again and logs the result if the reload was @p requested or the settings changed. The bounds of the platform's
    /// contract apply from then on, other settings at the next start.
    void reload(const std::string &path, bool requested);
    /// Runs the periodic tasks that are due. Must be called several times a second.
    void tick();

private:
    [[nodiscard]] InfoAnswer respond(const std::string &target);
    [[nodiscard]] InfoAnswer lookup(const std::string &target);
    [[nodiscard]] InfoAnswer metricsText() const;
    [[nodiscard]] bool isReady() const;
    void onVms(const std::map<std::string, Steering::EntryVm> &vms);
    [[nodiscard]] Steering::ConfigurationState configurationState() const;
    void onRoutingSnapshot(std::shared_ptr<const Steering::RoutingSnapshot> snapshot);
    void updateLocalShares(Base::MonotonicMs now);
    void logSuppressedLines();
    /// Ends the intake, waits for the requests that were taken, and closes the port.
    void endIntake();

    void applyBounds(const Adapter::ContractBounds &bounds);
    [[nodiscard]] std::int64_t stopGraceMs() const;
    [[nodiscard]] std::int64_t lookupAgeMs() const;

    /// Settings at the start of the process.
    const Adapter::VmSettings settings_;
    /// Settings as last read from the file.
    Adapter::VmSettings lastReadSettings_;
    Base::RcuPointer<Adapter::ContractBounds> bounds_;
    const EntryOptions options_;
    const Base::Clock &clock_;
    const Steering::EntryVm self_;
    Callers::RequestIntake intake_;
    Steering::StopPlan stopPlan_;
    std::atomic<int> pipelineThreads_{0};
    std::atomic<std::uint64_t> requestSequence_{0};
    Base::MonotonicMs localSharesUpdatedAt_ = 0;
    std::shared_ptr<prometheus::Registry> registry_;
    Callers::RequestMetrics metrics_;
    Base::RcuPointer<Steering::RoutingSnapshot> snapshot_;
    Base::RcuPointer<Callers::RequestLimits> requestLimits_;
    Upstreams::IdleConnectionPool idleConnections_;
    Steering::RegionShiftLimiter regionShiftLimiter_;
    /// Memory for buffered bodies of requests and answers.
    Base::MemoryBudget bodyMemory_;
    Base::LogRateLimiter failureLog_;
    Base::LogRateLimiter sampleLog_;
    PlacementReport placement_;
    Nodes::QuotaExchange teamLimiter_;
    /// Configuration whose teams the limiter has.
    std::shared_ptr<const Steering::Manifest> limitedManifest_;
    Callers::DispatchContext dispatchContext_;
    Callers::SessionContext sessionContext_;
    Nodes::PeerMembership peers_;
    Nodes::RevisionTracker storeRevisions_;
    Nodes::HeartbeatExchange heartbeats_;
    Adapter::StoreCallCounters storeCalls_;
    Adapter::PlatformFeed feed_;
    Adapter::Registration registration_;
    std::mutex randomMutex_;
    std::mt19937_64 random_;
    InfoServer readinessServer_;
    InfoServer lookupServer_;
    InfoServer metricsServer_;
    Callers::EntryServer entryServer_;
};

} // namespace Wasabistair::App
