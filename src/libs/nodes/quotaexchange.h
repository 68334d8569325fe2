#pragma once

#include "quotamessages.h"

#include <base/clock.h>
#include <steering/entryvm.h>
#include <steering/teamlimiter.h>

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Wasabistair::Nodes {

/// Keeps the limits of teams together with all other VMs, by datagrams. Does nothing, and opens no socket, until a configuration
/// limits some team. Thread-safe.
class QuotaExchange: public Steering::TeamLimiter
{
public:
    /// @p isPartByZone: the fleet is in one region, so each zone keeps a part of each limit.
    QuotaExchange(const Steering::EntryVm &self, bool isPartByZone, const Steering::QuotaTerms &terms, const Base::Clock &clock);
    ~QuotaExchange() override;
    QuotaExchange(const QuotaExchange &) = delete;
    QuotaExchange &operator=(const QuotaExchange &) = delete;

    void addRegisteredVms(const std::map<std::string, Steering::EntryVm> &vms);
    /// Sets how limits are divided and how long tokens last.
    void setTerms(const Steering::QuotaTerms &terms);
    /// Sets the limits that hold from now on.
    void setTeams(const Steering::TeamDirectory &teams);

    [[nodiscard]] Steering::TeamAdmission admit(const Steering::TeamRule &team, std::int64_t deadlineMs) override;
    void refund(const Steering::TeamRule &team, const Steering::TeamAdmission &admission) override;

    /// Whether the configuration has limited some team.
    [[nodiscard]] bool isInUse() const;
    /// Whether this VM's registration should say from now on that the VM is confirmed; true once.
    [[nodiscard]] bool takeConfirmable();
    /// Metrics as text; empty as long as no team was limited.
    [[nodiscard]] std::string metricsText() const;

private:
    using Datagram = std::pair<Poco::Net::SocketAddress, std::vector<std::uint8_t>>;

    struct RefusalLog {
        Base::MonotonicMs loggedAt = 0;
        std::uint64_t refused = 0;
    };

    [[nodiscard]] Steering::QuotaVm quotaVm(const Steering::EntryVm &vm) const;
    void startThread();
    void receiveLoop();
    void receiveOne();
    void applyDatagram(const Steering::QuotaMessage &message, const Poco::Net::SocketAddress &sender);
    void tick();
    void logKeepingChange(const Steering::KeepingChange &change) const;
    void logRefusal(const std::string &team, const Steering::TeamAdmission &admission, Base::MonotonicMs now);
    /// Waits for a token; the mutex is held at the call and the return, and released in between.
    [[nodiscard]] std::optional<std::int64_t> waitForToken(const std::string &team, Base::MonotonicMs deadline, std::unique_lock<std::mutex> &lock);
    /// Encodes and addresses messages; needs the mutex. Messages for VMs without a known address are dropped.
    [[nodiscard]] std::vector<Datagram> takeDatagrams(Steering::QuotaOutbox &outbox) const;
    void send(const std::vector<Datagram> &datagrams);

    const bool isPartByZone_;
    const Steering::EntryVm self_;
    const Base::Clock &clock_;
    Poco::Net::DatagramSocket socket_;
    std::atomic<bool> started_{false};
    std::atomic<bool> closing_{false};
    std::atomic<std::uint64_t> datagramsSent_{0};
    std::atomic<std::uint64_t> bytesSent_{0};
    mutable std::mutex mutex_;
    std::condition_variable tokensCame_;
    Steering::QuotaMember member_;
    std::unordered_map<std::string, Poco::Net::SocketAddress> addresses_;
    std::unordered_map<std::string, RefusalLog> refusals_;
    bool confirmableTaken_ = false;
    Base::MonotonicMs tickedAt_ = 0;
    std::thread receiver_;
};

} // namespace Wasabistair::Nodes
