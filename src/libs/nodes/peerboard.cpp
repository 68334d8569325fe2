#include "peerboard.h"

#include <algorithm>

namespace Wasabistair::Nodes {

PeerBoard::PeerBoard(Steering::EntryVm self, std::int64_t silenceMs)
    : self_(std::move(self))
    , silenceMs_(silenceMs)
{}

void PeerBoard::setRegistered(const std::map<std::string, Steering::EntryVm> &vms)
{
    const std::lock_guard lock(mutex_);
    std::erase_if(peers_, [&](const auto &entry) { return !vms.contains(entry.first); });
    for (const auto &[name, vm] : vms) {
        if (name == self_.name) {
            continue;
        }
        Peer &peer = peers_[name];
        const bool moved = peer.vm.ip != vm.ip;
        peer.vm = vm;
        if (moved) {
            // Another machine under the same name has to be heard itself.
            peer.heardAt.reset();
        }
    }
}

void PeerBoard::take(const PeerReport &report, Base::MonotonicMs now)
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(report.vm);
    if (found == peers_.end()) {
        return;
    }
    Peer &peer = found->second;
    const Base::MonotonicMs heardAt = now - std::max<std::int64_t>(0, report.ageMs);
    if (peer.heardAt && heardAt < *peer.heardAt) {
        return;
    }
    peer.takesCallers = report.takesCallers;
    peer.incarnation = report.incarnation;
    peer.heardAt = heardAt;
}

void PeerBoard::setTakesCallers(bool takes)
{
    const std::lock_guard lock(mutex_);
    takesCallers_ = takes;
}

bool PeerBoard::isLiving(const Peer &peer, Base::MonotonicMs now) const
{
    return peer.heardAt && now - *peer.heardAt <= silenceMs_;
}

std::vector<Steering::EntryVm> PeerBoard::takingCallers(Base::MonotonicMs now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<Steering::EntryVm> vms;
    if (takesCallers_) {
        vms.push_back(self_);
    }
    for (const auto &[name, peer] : peers_) {
        if (isLiving(peer, now) && peer.takesCallers) {
            vms.push_back(peer.vm);
        }
    }
    return vms;
}

std::vector<Steering::EntryVm> PeerBoard::zonePeers() const
{
    const std::lock_guard lock(mutex_);
    std::vector<Steering::EntryVm> vms;
    for (const auto &[name, peer] : peers_) {
        if (peer.vm.zone == self_.zone) {
            vms.push_back(peer.vm);
        }
    }
    return vms;
}

std::vector<std::string> PeerBoard::livingZonePeers(Base::MonotonicMs now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto &[name, peer] : peers_) {
        if (peer.vm.zone == self_.zone && isLiving(peer, now)) {
            names.push_back(name);
        }
    }
    return names;
}

bool PeerBoard::knows(const std::string &vm) const
{
    const std::lock_guard lock(mutex_);
    return peers_.contains(vm);
}

bool PeerBoard::isZonePeer(const std::string &vm) const
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(vm);
    return found != peers_.end() && found->second.vm.zone == self_.zone;
}

const std::string &PeerBoard::zone() const
{
    return self_.zone;
}

std::vector<Steering::EntryVm> PeerBoard::oneOfEachOtherZone(Base::MonotonicMs now, std::uint64_t choice) const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::vector<const Peer *>> living;
    std::map<std::string, std::vector<const Peer *>> all;
    for (const auto &[name, peer] : peers_) {
        if (peer.vm.zone == self_.zone) {
            continue;
        }
        all[peer.vm.zone].push_back(&peer);
        if (isLiving(peer, now)) {
            living[peer.vm.zone].push_back(&peer);
        }
    }
    std::vector<Steering::EntryVm> chosen;
    for (const auto &[zone, peers] : all) {
        const auto &candidates = living.contains(zone) ? living[zone] : peers;
        chosen.push_back(candidates[choice % candidates.size()]->vm);
    }
    return chosen;
}

std::vector<PeerReport> PeerBoard::zoneDigest(Base::MonotonicMs now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<PeerReport> reports = {{self_.name, self_.incarnation, takesCallers_, 0}};
    for (const auto &[name, peer] : peers_) {
        if (peer.vm.zone == self_.zone && peer.heardAt) {
            reports.push_back({name, peer.incarnation, peer.takesCallers, now - *peer.heardAt});
        }
    }
    return reports;
}

PeerReport PeerBoard::selfReport() const
{
    const std::lock_guard lock(mutex_);
    return {self_.name, self_.incarnation, takesCallers_, 0};
}

std::vector<PeerChange> PeerBoard::takeChanges(Base::MonotonicMs now)
{
    const std::lock_guard lock(mutex_);
    std::vector<PeerChange> changes;
    for (auto &[name, peer] : peers_) {
        const bool living = isLiving(peer, now) && peer.takesCallers;
        if (living != peer.believedLiving) {
            peer.believedLiving = living;
            changes.push_back({name, living, peer.heardAt ? now - *peer.heardAt : -1});
        }
    }
    return changes;
}

} // namespace Wasabistair::Nodes
