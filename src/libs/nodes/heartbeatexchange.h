#pragma once

#include "peermembership.h"
#include "revisiontracker.h"

#include <base/worker.h>
#include <steering/messagedelay.h>

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Wasabistair::Nodes {

/// Heartbeat datagram between VMs.
struct PeerDatagram {
    /// The receiver is to answer with the digest of its zone.
    bool digestRequested = false;
    /// The first one is the sender's report on itself.
    std::vector<PeerReport> reports;
    /// The sender reads the store's latest state, and the store is reachable for it.
    bool readsLatest = false;
    /// Revisions of the latest changes that the sender read from the store itself.
    ChangeRevisions revisions{};
    /// Era of these revisions; sent only when the store states one.
    StoreEra era = 0;
    /// When the ages in the reports were measured, by the sender's monotonic clock.
    Base::MonotonicMs sentAt = 0;

    bool operator==(const PeerDatagram &) const = default;
};

[[nodiscard]] std::vector<std::uint8_t> encodeDatagram(const PeerDatagram &datagram);
/// Returns nothing if the bytes are not a datagram of this format.
[[nodiscard]] std::optional<PeerDatagram> decodeDatagram(const std::uint8_t *bytes, std::size_t size);

/// Exchanges heartbeats with other VMs over UDP: with every VM of its zone, and with one VM of each other zone, which reports
/// for its whole zone.
class HeartbeatExchange
{
public:
    /// Listens on @p ip and @p port at once. Throws Poco::Net::NetException if the address can't be used.
    HeartbeatExchange(
        PeerMembership &board, RevisionTracker &revisions, const std::string &ip, std::uint16_t port, const Base::Clock &clock, std::uint64_t seed);
    ~HeartbeatExchange();
    HeartbeatExchange(const HeartbeatExchange &) = delete;
    HeartbeatExchange &operator=(const HeartbeatExchange &) = delete;

    /// Sends this VM's own report to @p vms at once: that it is alive, or that it is stopping.
    void announce(const std::vector<Steering::EntryVm> &vms);
    /// Sends the revisions that this VM has read to the VMs of its zone at once; called when it has read a new change.
    void announceRevisions();

private:
    struct Sender {
        std::uint64_t incarnation = 0;
        Steering::MessageDelay delay;
    };

    std::int64_t tick();
    /// Repeats the election of the zone's readers among the VMs that are alive.
    void updateElectedReader(Base::MonotonicMs now);
    /// @p arrivedAfter: all that had arrived before has been read.
    void applyDatagram(const PeerDatagram &datagram, Base::MonotonicMs arrivedAfter, Base::MonotonicMs readAt);
    /// Time for which @p datagram was under way or waited to be read.
    [[nodiscard]] std::int64_t delayOf(const PeerDatagram &datagram, Base::MonotonicMs arrivedAfter, Base::MonotonicMs readAt);
    /// @p measuredAt: when the ages in @p reports were measured.
    [[nodiscard]] PeerDatagram makeDatagram(bool digestRequested, std::vector<PeerReport> reports, Base::MonotonicMs measuredAt) const;
    void receiveLoop();
    void receiveOne(Base::MonotonicMs arrivedAfter);
    void recordListening(Base::MonotonicMs now);
    void send(const PeerDatagram &datagram, const Poco::Net::SocketAddress &address);

    PeerMembership &board_;
    RevisionTracker &revisions_;
    const Base::Clock &clock_;
    Poco::Net::DatagramSocket socket_;
    std::mt19937_64 random_;
    /// Delays by sender; used by the receiver's thread only.
    std::map<std::string, Sender> senders_;
    std::atomic<bool> closing_{false};
    std::thread receiver_;
    std::unique_ptr<Base::Worker> heartbeatWorker_;
};

} // namespace Wasabistair::Nodes
