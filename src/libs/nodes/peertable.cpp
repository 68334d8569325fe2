#include "peertable.h"

#include "topology.h"

#include <platform/vmlist.h>

#include <algorithm>

namespace Wasabistair::Nodes {

using Steering::Vm;
using Steering::VmKind;

namespace {

constexpr int maxBackoffDoublings = 5;

} // namespace

PeerTable::PeerTable(std::string self)
    : self_(std::move(self))
{}

bool PeerTable::setList(const Platform::VmList &list, Base::MonotonicMs now)
{
    if (list.version < list_.version) {
        return false;
    }
    list_ = list;
    for (const Vm &vm : list_.vms) {
        if (vm.kind == VmKind::Entry) {
            listedSince_.try_emplace(vm.id, now);
        }
    }
    std::erase_if(listedSince_, [this](const auto &entry) { return !find(entry.first); });
    std::erase_if(dials_, [this](const auto &entry) { return !find(entry.first); });
    return true;
}

const Platform::VmList &PeerTable::list() const
{
    return list_;
}

const Vm *PeerTable::find(const std::string &node) const
{
    return Platform::findVm(list_, node);
}

const Vm *PeerTable::self() const
{
    return find(self_);
}

std::string PeerTable::zoneOf(const std::string &node) const
{
    const Vm *vm = find(node);
    return vm ? vm->zone : std::string();
}

bool PeerTable::isListed(const std::string &node, const std::string &host) const
{
    const Vm *vm = find(node);
    return vm && vm->kind == VmKind::Entry && vm->host == host;
}

std::set<std::string> PeerTable::suspects() const
{
    std::set<std::string> suspects;
    for (const auto &[node, dial] : dials_) {
        if (dial.failures >= failuresToSuspect) {
            suspects.insert(node);
        }
    }
    return suspects;
}

std::set<std::string> PeerTable::wanted() const
{
    const Vm *own = self();
    return own ? desiredPeers(list_.vms, *own, suspects()) : std::set<std::string>();
}

std::set<std::string> PeerTable::worthDialling() const
{
    std::set<std::string> nodes = wanted();
    if (const Vm *own = self()) {
        // Suspected peers are tried on, so that they are found when they come back.
        nodes.merge(desiredPeers(list_.vms, *own, {}));
    }
    return nodes;
}

std::vector<std::string> PeerTable::ownRelays() const
{
    const Vm *own = self();
    return own ? relaysOf(list_.vms, own->zone, suspects()) : std::vector<std::string>();
}

std::vector<std::string> PeerTable::ownRelaysByList() const
{
    const Vm *own = self();
    return own ? relaysOf(list_.vms, own->zone, {}) : std::vector<std::string>();
}

bool PeerTable::isOwnRelay(const std::string &node) const
{
    const auto relays = ownRelays();
    return std::find(relays.begin(), relays.end(), node) != relays.end();
}

bool PeerTable::mayTell(const std::string &teller, const std::string &node) const
{
    const Vm *own = self();
    if (!own) {
        return false;
    }
    if (isOwnRelay(own->id)) {
        return zoneOf(teller) != own->zone && zoneOf(teller) == zoneOf(node);
    }
    return isOwnRelay(teller);
}

std::vector<std::string> PeerTable::zoneMembersListedFor(Base::MonotonicMs milliseconds, Base::MonotonicMs now) const
{
    const Vm *own = self();
    std::vector<std::string> members;
    for (const auto &[node, since] : listedSince_) {
        if (own && zoneOf(node) == own->zone && now - since >= milliseconds) {
            members.push_back(node);
        }
    }
    return members;
}

bool PeerTable::startDial(const std::string &key, Base::MonotonicMs now)
{
    Dial &dial = dials_[key];
    if (now < dial.nextTry) {
        return false;
    }
    dial.nextTry = now + maxRedialMs;
    return true;
}

void PeerTable::dialFailed(const std::string &key, Base::MonotonicMs now)
{
    Dial &dial = dials_[key];
    ++dial.failures;
    dial.nextTry = now + std::min(maxRedialMs, firstRedialMs << std::min(dial.failures, maxBackoffDoublings));
}

void PeerTable::connectionLost(const std::string &key, Base::MonotonicMs now)
{
    dials_[key] = {now + firstRedialMs, 1};
}

void PeerTable::connected(const std::string &key)
{
    dials_[key] = {};
}

void PeerTable::forgetDial(const std::string &key)
{
    dials_.erase(key);
}

} // namespace Wasabistair::Nodes
