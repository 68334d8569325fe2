#pragma once

#include <base/clock.h>
#include <steering/entryvm.h>

#include <compare>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Nodes {

/// One VM's report on another VM or on itself.
struct PeerReport {
    std::string vm;
    std::uint64_t incarnation = 0;
    /// True while the VM is ready and not stopping.
    bool acceptsCallers = false;
    /// Time since the last heartbeat that the VM sent itself, in ms.
    std::int64_t ageMs = 0;

    auto operator<=>(const PeerReport &) const = default;
};

/// A change of whether another VM is alive and accepts callers.
struct PeerChange {
    std::string vm;
    bool alive = false;
    /// Time since its last heartbeat in ms; -1 if there was none.
    std::int64_t ageMs = 0;
    /// VM that reported this heartbeat; empty if there was none.
    std::string reporter;

    auto operator<=>(const PeerChange &) const = default;
};

/// Tracks which registered VMs are alive, from the heartbeats that VMs exchange; the store only supplies their addresses.
/// Thread-safe.
class PeerMembership
{
public:
    static constexpr std::int64_t maxListeningGapMs = 1'500;

    /// A VM counts as dead when its last heartbeat is older than @p timeoutMs.
    PeerMembership(Steering::EntryVm self, std::int64_t timeoutMs);

    /// Replaces the set of registered VMs; the state of VMs that are no longer in it is dropped.
    void setRegisteredVms(const std::map<std::string, Steering::EntryVm> &vms);
    /// Applies what the VM @p reporter reported at @p reportedAt. Ignores reports on unregistered VMs, and those older than what is already
    /// recorded.
    void applyReport(const PeerReport &report, const std::string &reporter, Base::MonotonicMs reportedAt);
    /// This VM has read all heartbeats that had arrived by now; to be called at least every maxListeningGapMs. When the last call is longer
    /// ago, this VM stood still and couldn't hear its peers: it goes on with what it knew until they had the time to be heard again. Returns
    /// the length of the standstill, 0 if there was none.
    std::int64_t recordListening(Base::MonotonicMs now);
    /// Sets whether this VM accepts callers; false until it is ready and once it is stopping.
    void setAcceptsCallers(bool accepts);

    /// VMs that are alive and accept callers, this one included.
    [[nodiscard]] std::vector<Steering::EntryVm> vmsAcceptingCallers(Base::MonotonicMs now) const;
    /// Other VMs of this zone, dead ones included.
    [[nodiscard]] std::vector<Steering::EntryVm> zonePeers() const;
    /// Names of the zone's other VMs that are alive.
    [[nodiscard]] std::vector<std::string> aliveZonePeers(Base::MonotonicMs now) const;
    /// Whether another VM is registered under that name.
    [[nodiscard]] bool isRegistered(const std::string &vm) const;
    /// As isRegistered(), and the VM is in this zone.
    [[nodiscard]] bool isZonePeer(const std::string &vm) const;
    [[nodiscard]] const std::string &zone() const;
    /// One VM of each other zone: one that is alive if there is any. @p choice, a random number, picks among them.
    [[nodiscard]] std::vector<Steering::EntryVm> onePeerPerOtherZone(Base::MonotonicMs now, std::uint64_t choice) const;
    /// Reports on this VM and on those VMs of its zone from which a heartbeat was received.
    [[nodiscard]] std::vector<PeerReport> zoneDigest(Base::MonotonicMs now) const;
    [[nodiscard]] PeerReport selfReport() const;
    /// Changes since the last call.
    [[nodiscard]] std::vector<PeerChange> takeChanges(Base::MonotonicMs now);

private:
    struct Peer {
        Steering::EntryVm vm;
        std::uint64_t incarnation = 0;
        bool acceptsCallers = false;
        /// Empty until the first heartbeat.
        std::optional<Base::MonotonicMs> lastHeartbeatAt;
        /// VM that reported the last heartbeat.
        std::string reporter;
        /// State that takeChanges() returned last.
        bool reportedAlive = false;
    };

    [[nodiscard]] bool isAlive(const Peer &peer, Base::MonotonicMs now) const;

    const Steering::EntryVm self_;
    const std::int64_t timeoutMs_;
    mutable std::mutex mutex_;
    bool acceptsCallers_ = false;
    std::map<std::string, Peer> peers_;
    /// Last call of recordListening().
    std::optional<Base::MonotonicMs> listenedAt_;
    /// The last standstill began after the first of these times; until the second one, peers that were alive then count as alive.
    Base::MonotonicMs stoodStillAt_ = 0;
    Base::MonotonicMs heldUntil_ = 0;
};

} // namespace Wasabistair::Nodes
