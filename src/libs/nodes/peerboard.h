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

/// What one VM says of another, or of itself.
struct PeerReport {
    std::string vm;
    std::uint64_t incarnation = 0;
    /// Ready, and not stopping.
    bool takesCallers = false;
    /// Time since it was heard itself, in ms.
    std::int64_t ageMs = 0;

    auto operator<=>(const PeerReport &) const = default;
};

/// A change of what this VM believes of another one.
struct PeerChange {
    std::string vm;
    bool living = false;
    std::int64_t ageMs = 0;

    auto operator<=>(const PeerChange &) const = default;
};

/// Which VMs live, as judged by the VMs themselves; the store only introduces them. Thread-safe.
class PeerBoard
{
public:
    /// A VM that is not heard for @p silenceMs counts as dead.
    PeerBoard(Steering::EntryVm self, std::int64_t silenceMs);

    /// Registered VMs; those that aren't are forgotten.
    void setRegistered(const std::map<std::string, Steering::EntryVm> &vms);
    void take(const PeerReport &report, Base::MonotonicMs now);
    /// Whether this VM takes callers; false until it is ready, and once it stops.
    void setTakesCallers(bool takes);

    /// Living VMs that take callers, this one included.
    [[nodiscard]] std::vector<Steering::EntryVm> takingCallers(Base::MonotonicMs now) const;
    /// Other VMs of this zone, living or not.
    [[nodiscard]] std::vector<Steering::EntryVm> zonePeers() const;
    /// Names of those that live.
    [[nodiscard]] std::vector<std::string> livingZonePeers(Base::MonotonicMs now) const;
    /// Whether another VM of that name is registered, and whether in this zone.
    [[nodiscard]] bool knows(const std::string &vm) const;
    [[nodiscard]] bool isZonePeer(const std::string &vm) const;
    [[nodiscard]] const std::string &zone() const;
    /// For each other zone one VM, living ones first; @p choice picks among them.
    [[nodiscard]] std::vector<Steering::EntryVm> oneOfEachOtherZone(Base::MonotonicMs now, std::uint64_t choice) const;
    /// What this VM knows of its own zone, itself included.
    [[nodiscard]] std::vector<PeerReport> zoneDigest(Base::MonotonicMs now) const;
    [[nodiscard]] PeerReport selfReport() const;
    /// Changes of belief since the last call.
    [[nodiscard]] std::vector<PeerChange> takeChanges(Base::MonotonicMs now);

private:
    struct Peer {
        Steering::EntryVm vm;
        std::uint64_t incarnation = 0;
        bool takesCallers = false;
        /// Nothing until the VM is first heard.
        std::optional<Base::MonotonicMs> heardAt;
        bool believedLiving = false;
    };

    [[nodiscard]] bool isLiving(const Peer &peer, Base::MonotonicMs now) const;

    const Steering::EntryVm self_;
    const std::int64_t silenceMs_;
    mutable std::mutex mutex_;
    bool takesCallers_ = false;
    std::map<std::string, Peer> peers_;
};

} // namespace Wasabistair::Nodes
