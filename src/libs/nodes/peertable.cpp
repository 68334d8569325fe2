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
    vmsById_.clear();
    for (const Vm &vm : list_.vms) {
        vmsById_.emplace(vm.id, &vm);
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
    const auto found = vmsById_.find(node);
    return found == vmsById_.end() ? nullptr : found->second;
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

PeerTable::Views PeerTable::deriveViews() const
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
    views.desired = desiredPeers(list_.vms, *own, views.suspects);
    // Suspected peers are still dialled, so that their recovery is noticed.
    views.dialTargets = desiredPeers(list_.vms, *own, {});
    views.dialTargets.insert(views.desired.begin(), views.desired.end());
    views.ownRelays = relaysOf(list_.vms, own->zone, views.suspects);
    views.ownRelaysIgnoringSuspects = relaysOf(list_.vms, own->zone, {});
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
        views_ = deriveViews();
    }
    return *views_;
}

const std::set<std::string> &PeerTable::suspects() const
{
    return views().suspects;
}

const std::set<std::string> &PeerTable::desired() const
{
    return views().desired;
}

const std::set<std::string> &PeerTable::dialTargets() const
{
    return views().dialTargets;
}

const std::vector<std::string> &PeerTable::ownRelays() const
{
    return views().ownRelays;
}

const std::vector<std::string> &PeerTable::ownRelaysIgnoringSuspects() const
{
    return views().ownRelaysIgnoringSuspects;
}

bool PeerTable::isOwnRelay(const std::string &node) const
{
    const std::vector<std::string> &relays = ownRelays();
    return std::find(relays.begin(), relays.end(), node) != relays.end();
}

bool PeerTable::trustsReport(const std::string &reporter, const std::string &node) const
{
    const Vm *own = self();
    if (!own) {
        return false;
    }
    if (isOwnRelay(own->id)) {
        return zoneOf(reporter) != own->zone && zoneOf(reporter) == zoneOf(node);
    }
    return isOwnRelay(reporter);
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

bool PeerTable::tryStartDial(const std::string &key, Base::MonotonicMs now)
{
    Dial &dial = dials_[key];
    if (now < dial.nextAttemptAt) {
        return false;
    }
    dial.nextAttemptAt = now + maxRedialMs;
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

void PeerTable::removeDial(const std::string &key)
{
    setDial(key, {});
    dials_.erase(key);
}

} // namespace Wasabistair::Nodes
