#include "peertable.h"

#include "topology.h"

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
    index_.clear();
    for (const Vm &vm : list_.vms) {
        index_.emplace(vm.id, &vm);
    }
    views_.reset();
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
    const auto found = index_.find(node);
    return found == index_.end() ? nullptr : found->second;
}

const Vm *PeerTable::self() const
{
    return find(self_);
}

const std::string &PeerTable::zoneOf(const std::string &node) const
{
    static const std::string none;
    const Vm *vm = find(node);
    return vm ? vm->zone : none;
}

bool PeerTable::isListed(const std::string &node, const std::string &host) const
{
    const Vm *vm = find(node);
    return vm && vm->kind == VmKind::Entry && vm->host == host;
}

PeerTable::Views PeerTable::derived() const
{
    Views views;
    for (const auto &[node, dial] : dials_) {
        if (dial.failures >= failuresToSuspect) {
            views.suspects.insert(node);
        }
    }
    const Vm *own = self();
    if (!own) {
        return views;
    }
    views.wanted = desiredPeers(list_.vms, *own, views.suspects);
    // Suspected peers are tried on, so that they are found when they come back.
    views.worthDialling = desiredPeers(list_.vms, *own, {});
    views.worthDialling.insert(views.wanted.begin(), views.wanted.end());
    views.ownRelays = relaysOf(list_.vms, own->zone, views.suspects);
    views.ownRelaysByList = relaysOf(list_.vms, own->zone, {});
    for (const auto &[node, since] : listedSince_) {
        if (zoneOf(node) == own->zone) {
            views.zoneMembers.push_back(node);
        }
    }
    return views;
}

const PeerTable::Views &PeerTable::views() const
{
    if (!views_) {
        views_ = derived();
    }
    return *views_;
}

const std::set<std::string> &PeerTable::suspects() const
{
    return views().suspects;
}

const std::set<std::string> &PeerTable::wanted() const
{
    return views().wanted;
}

const std::set<std::string> &PeerTable::worthDialling() const
{
    return views().worthDialling;
}

const std::vector<std::string> &PeerTable::ownRelays() const
{
    return views().ownRelays;
}

const std::vector<std::string> &PeerTable::ownRelaysByList() const
{
    return views().ownRelaysByList;
}

bool PeerTable::isOwnRelay(const std::string &node) const
{
    const std::vector<std::string> &relays = ownRelays();
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
    std::vector<std::string> members;
    for (const std::string &node : views().zoneMembers) {
        if (now - listedSince_.at(node) >= milliseconds) {
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

void PeerTable::setDial(const std::string &key, const Dial &dial)
{
    Dial &present = dials_[key];
    const bool wasSuspect = present.failures >= failuresToSuspect;
    if (wasSuspect != (dial.failures >= failuresToSuspect)) {
        views_.reset();
    }
    present = dial;
}

void PeerTable::dialFailed(const std::string &key, Base::MonotonicMs now)
{
    const int failures = dials_[key].failures + 1;
    setDial(key, {now + std::min(maxRedialMs, firstRedialMs << std::min(failures, maxBackoffDoublings)), failures});
}

void PeerTable::connectionLost(const std::string &key, Base::MonotonicMs now)
{
    setDial(key, {now + firstRedialMs, 1});
}

void PeerTable::connected(const std::string &key)
{
    setDial(key, {});
}

void PeerTable::forgetDial(const std::string &key)
{
    setDial(key, {});
    dials_.erase(key);
}

} // namespace Wasabistair::Nodes
