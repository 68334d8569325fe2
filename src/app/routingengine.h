#pragma once

#include "delayedreleases.h"
#include "reviewrecorder.h"

#include <base/clock.h>
#include <base/rcu.h>
#include <callers/router.h>
#include <platform/objectstore.h>
#include <platform/slotclaim.h>
#include <steering/entryorder.h>
#include <steering/routingtable.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Wasabistair::App {

/// Owns the current routing table and routes requests with it: chooses a server and occupies a unit of it for each attempt.
class RoutingEngine: public Callers::Router
{
public:
    RoutingEngine(const Base::Clock &clock, ReviewRecorder &recorder, Platform::SlotClaim &slot, std::string vm, std::string region, std::uint64_t randomSeed);

    // Inputs of the routing table. Each takes effect at the next rebuild().
    /// Ignored unless its generation is newer. @p firstHoldMs applies to the first configuration of the process (see RoutingInputs).
    void setConfiguration(std::shared_ptr<const Steering::Configuration> configuration, Base::MonotonicMs firstHoldMs);
    void setVmList(const Platform::VmList &list);
    /// Ids of entry VMs that take no callers.
    void setUnavailableEntryVms(std::vector<std::string> vms);
    /// Irreversible; from the next setUnavailableEntryVms() on this VM counts as unavailable too.
    void setDraining();
    /// Builds and publishes a new table if any input has changed. Must be called several times a second.
    void rebuild();

    [[nodiscard]] std::shared_ptr<const Steering::RoutingTable> table() const;
    [[nodiscard]] const Base::RcuPointer<Steering::RoutingTable> &tablePointer() const;

    [[nodiscard]] std::optional<Callers::ServiceMatch> match(const std::string &host, const std::string &path) const override;
    [[nodiscard]] std::variant<Callers::ServerReservation, Steering::RoutingFailure> acquire(
        const std::string &service, const std::vector<std::string> &excludedServers, Steering::MonotonicMs waitMs) override;
    [[nodiscard]] bool mayStillSend(const Callers::ServerReservation &route) const override;
    void release(const Callers::ServerReservation &route) override;
    void releaseAfter(const Callers::ServerReservation &route, Steering::MonotonicMs holdMs) override;
    /// Releases the units whose hold has ended. Must be called several times a second.
    void releaseDue();
    [[nodiscard]] std::int64_t maxStreams(const std::string &service) const override;
    void record(const std::string &service, const std::string &place, Callers::RequestOutcome outcome, std::int64_t latencyUs) override;
    [[nodiscard]] bool isDraining() const override;
    [[nodiscard]] bool isReady() const override;

private:
    /// Requests of one service that wait for a unit.
    struct Queue {
        std::mutex mutex;
        std::condition_variable unitReleased;
        std::atomic<std::int64_t> waiting{0};
    };

    [[nodiscard]] std::variant<Callers::ServerReservation, Steering::RoutingFailure> tryAcquire(
        const std::string &service, const std::vector<std::string> &excludedServers);
    [[nodiscard]] Queue &queueOf(const std::string &service);
    [[nodiscard]] std::int64_t unitsOf(const std::string &service) const;
    [[nodiscard]] std::int64_t maxWaiting(const std::string &service) const;
    [[nodiscard]] std::uint64_t nextRandom();

    const Base::Clock &clock_;
    ReviewRecorder &recorder_;
    Platform::SlotClaim &slot_;
    const std::string vm_;
    std::atomic<std::uint64_t> random_;
    std::atomic<bool> draining_{false};

    std::mutex inputMutex_;
    Steering::RoutingInputs inputs_;
    bool changed_ = false;

    std::mutex queuesMutex_;
    std::map<std::string, std::unique_ptr<Queue>> queues_;

    DelayedReleases delayedReleases_;

    Base::RcuPointer<Steering::RoutingTable> table_;
};

} // namespace Wasabistair::App
