#pragma once

#include "newsledger.h"
#include "peerboard.h"

#include <base/worker.h>

#include <Poco/Net/DatagramSocket.h>

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Wasabistair::Nodes {

/// One datagram between VMs.
struct PeerDatagram {
    /// Asks for the receiver's digest.
    bool question = false;
    /// The sender's report of itself comes first.
    std::vector<PeerReport> reports;
    /// The sender reads the store's latest state, and reaches it.
    bool readsStore = false;
    /// Newest changes that the sender has read itself.
    NewsRevisions news{};

    bool operator==(const PeerDatagram &) const = default;
};

[[nodiscard]] std::vector<std::uint8_t> encodeDatagram(const PeerDatagram &datagram);
/// Nothing when the bytes are no datagram of this format.
[[nodiscard]] std::optional<PeerDatagram> decodeDatagram(const std::uint8_t *bytes, std::size_t size);

/// Exchanges signs of life with other VMs: with each one of the zone, and with one of every other zone, which answers for
/// its whole zone.
class PeerLink
{
public:
    /// Throws Poco::Net::NetException when the address can't be used.
    PeerLink(PeerBoard &board, NewsLedger &news, const std::string &ip, std::uint16_t port, const Base::Clock &clock, std::uint64_t seed);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Tells all VMs at once that this one stops, or that it is here.
    void announce(const std::vector<Steering::EntryVm> &vms);
    /// Tells the VMs of this zone that a reader has read something new.
    void announceNews();

private:
    std::int64_t tick();
    /// Appoints this VM a reader of its zone when it is one among those that live.
    void updateReader(Base::MonotonicMs now);
    void take(const PeerDatagram &datagram, Base::MonotonicMs now);
    [[nodiscard]] PeerDatagram datagramOf(bool question, std::vector<PeerReport> reports) const;
    void receiveLoop();
    void send(const PeerDatagram &datagram, const Poco::Net::SocketAddress &address);

    PeerBoard &board_;
    NewsLedger &news_;
    const Base::Clock &clock_;
    Poco::Net::DatagramSocket socket_;
    std::mt19937_64 random_;
    std::atomic<bool> closing_{false};
    std::thread receiver_;
    std::unique_ptr<Base::Worker> ticker_;
};

} // namespace Wasabistair::Nodes
