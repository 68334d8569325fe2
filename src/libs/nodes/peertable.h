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

/// What a process knows of the other entry VMs: the platform's list, and whom it fails to reach.
/// Single-threaded; its owner locks. Everything derived from the list and the suspects is worked out once for
/// each change of them, so that asking costs no more in a larger fleet.
class PeerTable
{
public:
    /// Dials that fail in a row before a peer is suspected.
    static constexpr int failuresToSuspect = 2;
    static constexpr Base::MonotonicMs firstRedialMs = 300;
    static constexpr Base::MonotonicMs maxRedialMs = 5'000;

    explicit PeerTable(std::string self);
    PeerTable(const PeerTable &) = delete;
    PeerTable &operator=(const PeerTable &) = delete;

    /// Takes a list that is not older than the present one; false if it is older.
    bool setList(const Platform::VmList &list, Base::MonotonicMs now);
    [[nodiscard]] const Platform::VmList &list() const;
    /// This process's own entry; null while the list is without it.
    [[nodiscard]] const Steering::Vm *self() const;
    [[nodiscard]] const Steering::Vm *find(const std::string &node) const;
    /// Empty for a VM that is not listed.
    [[nodiscard]] const std::string &zoneOf(const std::string &node) const;
    /// True when @p node is a listed entry VM with that address.
    [[nodiscard]] bool isListed(const std::string &node, const std::string &host) const;

    [[nodiscard]] const std::set<std::string> &suspects() const;
    /// Entry VMs that this process is to be connected to, and those it goes on trying though suspected.
    [[nodiscard]] const std::set<std::string> &wanted() const;
    [[nodiscard]] const std::set<std::string> &worthDialling() const;
    /// Relays of the own zone; empty while the list is without this process.
    [[nodiscard]] const std::vector<std::string> &ownRelays() const;
    /// As ownRelays(), suspected ones included.
    [[nodiscard]] const std::vector<std::string> &ownRelaysByList() const;
    [[nodiscard]] bool isOwnRelay(const std::string &node) const;
    /// Whether @p teller is believed when it says that @p node is unavailable. A relay believes relays of
    /// another zone on that zone's VMs only, and an ordinary VM its own relays on all: news travels away
    /// from those who see it themselves, so that none can come back and keep itself alive.
    [[nodiscard]] bool mayTell(const std::string &teller, const std::string &node) const;
    /// VMs of the own zone that have been listed for at least @p milliseconds.
    [[nodiscard]] std::vector<std::string> zoneMembersListedFor(Base::MonotonicMs milliseconds, Base::MonotonicMs now) const;

    /// True when @p key may be dialled now; counts as the start of a dial.
    bool startDial(const std::string &key, Base::MonotonicMs now);
    void dialFailed(const std::string &key, Base::MonotonicMs now);
    /// An established connection ended: one failure, and a new dial soon.
    void connectionLost(const std::string &key, Base::MonotonicMs now);
    void connected(const std::string &key);
    void forgetDial(const std::string &key);

private:
    struct Dial {
        Base::MonotonicMs nextTry = 0;
        int failures = 0;
    };

    /// Derived from the list and the suspects.
    struct Views {
        std::set<std::string> suspects;
        std::set<std::string> wanted;
        std::set<std::string> worthDialling;
        std::vector<std::string> ownRelays;
        std::vector<std::string> ownRelaysByList;
        std::vector<std::string> zoneMembers;
    };

    [[nodiscard]] const Views &views() const;
    [[nodiscard]] Views derived() const;
    void setDial(const std::string &key, const Dial &dial);

    const std::string self_;
    Platform::VmList list_;
    /// Entries of list_ by id.
    std::unordered_map<std::string, const Steering::Vm *> index_;
    std::map<std::string, Dial> dials_;
    std::map<std::string, Base::MonotonicMs> listedSince_;
    /// Empty when the list or the suspects have changed since.
    mutable std::optional<Views> views_;
};

} // namespace Wasabistair::Nodes
