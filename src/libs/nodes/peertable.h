#pragma once

#include <base/clock.h>
#include <platform/objectstore.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Wasabistair::Nodes {

/// The entry VMs on the platform's list, and the state of the connections to them. A peer whose dials fail is suspected.
/// Not thread-safe; the owner locks. Results derived from the list and the suspects are computed once per change of either,
/// so that a query costs no more in a larger fleet.
class PeerTable
{
public:
    /// Consecutive failed dials after which a peer is suspected.
    static constexpr int failuresToSuspect = 2;
    static constexpr Base::MonotonicMs firstRedialMs = 300;
    static constexpr Base::MonotonicMs maxRedialMs = 5'000;

    explicit PeerTable(std::string self);
    PeerTable(const PeerTable &) = delete;
    PeerTable &operator=(const PeerTable &) = delete;

    /// Replaces the list. Returns false and keeps the current list if @p list has a lower version.
    bool setList(const Platform::VmList &list, Base::MonotonicMs now);
    [[nodiscard]] const Platform::VmList &list() const;
    /// This process's own entry; null while it is not on the list.
    [[nodiscard]] const Steering::Vm *self() const;
    [[nodiscard]] const Steering::Vm *find(const std::string &node) const;
    /// Zone of @p node; empty if it is not on the list.
    [[nodiscard]] const std::string &zoneOf(const std::string &node) const;
    /// True if @p node is on the list as an entry VM with the address @p host.
    [[nodiscard]] bool isListed(const std::string &node, const std::string &host) const;

    [[nodiscard]] const std::set<std::string> &suspects() const;
    /// Entry VMs that this process should be connected to.
    [[nodiscard]] const std::set<std::string> &desired() const;
    /// The desired peers, and those that would be desired if they were not suspected.
    [[nodiscard]] const std::set<std::string> &dialTargets() const;
    /// Relays of this process's zone without suspected VMs; empty while this process is not on the list.
    [[nodiscard]] const std::vector<std::string> &ownRelays() const;
    /// As ownRelays(), but chosen as if no VM were suspected.
    [[nodiscard]] const std::vector<std::string> &ownRelaysIgnoringSuspects() const;
    [[nodiscard]] bool isOwnRelay(const std::string &node) const;
    /// Whether a report by @p reporter that @p node is unavailable is accepted. A relay accepts reports from another
    /// zone about VMs of that zone only; an ordinary VM accepts reports from its zone's relays about all VMs. Reports thus
    /// only move away from the VMs that observe the failure, and none can loop back and sustain itself.
    [[nodiscard]] bool trustsReport(const std::string &reporter, const std::string &node) const;
    /// Entry VMs of this process's zone that have been on the list for at least @p milliseconds.
    [[nodiscard]] std::vector<std::string> zoneMembersListedFor(Base::MonotonicMs milliseconds, Base::MonotonicMs now) const;

    /// Starts a dial unless the backoff of @p key has not elapsed; returns whether it was started.
    bool tryStartDial(const std::string &key, Base::MonotonicMs now);
    void dialFailed(const std::string &key, Base::MonotonicMs now);
    /// An established connection ended. Counts as one failure; the next dial is allowed after firstRedialMs.
    void connectionLost(const std::string &key, Base::MonotonicMs now);
    void connected(const std::string &key);
    void removeDial(const std::string &key);

private:
    struct Dial {
        Base::MonotonicMs nextAttemptAt = 0;
        int failures = 0;
    };

    /// Results derived from the list and the suspects.
    struct Views {
        std::set<std::string> suspects;
        std::set<std::string> desired;
        std::set<std::string> dialTargets;
        std::vector<std::string> ownRelays;
        std::vector<std::string> ownRelaysIgnoringSuspects;
        std::vector<std::string> zoneMembers;
    };

    [[nodiscard]] const Views &views() const;
    [[nodiscard]] Views deriveViews() const;
    void setDial(const std::string &key, const Dial &dial);

    const std::string self_;
    Platform::VmList list_;
    /// Pointers into list_.
    std::unordered_map<std::string, const Steering::Vm *> vmsById_;
    std::map<std::string, Dial> dials_;
    std::map<std::string, Base::MonotonicMs> listedSince_;
    /// Cache; empty after a change of the list or the suspects.
    mutable std::optional<Views> views_;
};

} // namespace Wasabistair::Nodes
