#include "peermembership.h"

#include <algorithm>
#include <utility>

namespace Wasabistair::Nodes {

namespace {

// Two heartbeats, one per second, and their delay.
constexpr std::int64_t holdAfterStandstillMs = 2'200;

} // namespace

PeerMembership::PeerMembership(Steering::EntryVm self, std::int64_t timeoutMs)
    : self_(std::move(self))
    , timeoutMs_(timeoutMs)
{}

void PeerMembership::setRegisteredVms(const std::map<std::string, Steering::EntryVm> &vms)
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
            // A new IP is another machine under the same name; the old heartbeat does not count for it.
            peer.lastHeartbeatAt.reset();
        }
    }
}

void PeerMembership::applyReport(const PeerReport &report, const std::string &reporter, Base::MonotonicMs reportedAt)
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(report.vm);
    if (found == peers_.end()) {
        return;
    }
    Peer &peer = found->second;
    const Base::MonotonicMs lastHeartbeatAt = reportedAt - std::max<std::int64_t>(0, report.ageMs);
    if (peer.lastHeartbeatAt && lastHeartbeatAt < *peer.lastHeartbeatAt) {
        return;
    }
    peer.acceptsCallers = report.acceptsCallers;
    peer.incarnation = report.incarnation;
    peer.lastHeartbeatAt = lastHeartbeatAt;
    peer.reporter = reporter;
}

void PeerMembership::setAcceptsCallers(bool accepts)
{
    const std::lock_guard lock(mutex_);
    acceptsCallers_ = accepts;
}

std::int64_t PeerMembership::recordListening(Base::MonotonicMs now)
{
    const std::lock_guard lock(mutex_);
    const Base::MonotonicMs before = std::exchange(listenedAt_, now).value_or(now);
    if (now - before <= maxListeningGapMs) {
        return 0;
    }
    // Peers that could not be heard since the standstill before are held on.
    stoodStillAt_ = before < heldUntil_ ? stoodStillAt_ : before;
    heldUntil_ = now + holdAfterStandstillMs;
    return now - before;
}

bool PeerMembership::isAlive(const Peer &peer, Base::MonotonicMs now) const
{
    if (!peer.lastHeartbeatAt) {
        return false;
    }
    // The thread that listens may not have run yet after a standstill.
    const Base::MonotonicMs listenedUntil = listenedAt_ && now - *listenedAt_ > maxListeningGapMs ? *listenedAt_ : now;
    const Base::MonotonicMs judgedAt = listenedUntil < heldUntil_ ? stoodStillAt_ : listenedUntil;
    return judgedAt - *peer.lastHeartbeatAt <= timeoutMs_;
}

std::vector<Steering::EntryVm> PeerMembership::vmsAcceptingCallers(Base::MonotonicMs now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<Steering::EntryVm> vms;
    if (acceptsCallers_) {
        vms.push_back(self_);
    }
    for (const auto &[name, peer] : peers_) {
        if (isAlive(peer, now) && peer.acceptsCallers) {
            vms.push_back(peer.vm);
        }
    }
    return vms;
}

std::vector<Steering::EntryVm> PeerMembership::zonePeers() const
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

std::vector<std::string> PeerMembership::aliveZonePeers(Base::MonotonicMs now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto &[name, peer] : peers_) {
        if (peer.vm.zone == self_.zone && isAlive(peer, now)) {
            names.push_back(name);
        }
    }
    return names;
}

bool PeerMembership::isRegistered(const std::string &vm) const
{
    const std::lock_guard lock(mutex_);
    return peers_.contains(vm);
}

bool PeerMembership::isZonePeer(const std::string &vm) const
{
    const std::lock_guard lock(mutex_);
    const auto found = peers_.find(vm);
    return found != peers_.end() && found->second.vm.zone == self_.zone;
}

const std::string &PeerMembership::zone() const
{
    return self_.zone;
}

std::vector<Steering::EntryVm> PeerMembership::onePeerPerOtherZone(Base::MonotonicMs now, std::uint64_t choice) const
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::vector<const Peer *>> alive;
    std::map<std::string, std::vector<const Peer *>> all;
    for (const auto &[name, peer] : peers_) {
        if (peer.vm.zone == self_.zone) {
            continue;
        }
        all[peer.vm.zone].push_back(&peer);
        if (isAlive(peer, now)) {
            alive[peer.vm.zone].push_back(&peer);
        }
    }
    std::vector<Steering::EntryVm> chosen;
    for (const auto &[zone, peers] : all) {
        const auto &candidates = alive.contains(zone) ? alive[zone] : peers;
        chosen.push_back(candidates[choice % candidates.size()]->vm);
    }
    return chosen;
}

std::vector<PeerReport> PeerMembership::zoneDigest(Base::MonotonicMs now) const
{
    const std::lock_guard lock(mutex_);
    std::vector<PeerReport> reports = {{self_.name, self_.incarnation, acceptsCallers_, 0}};
    for (const auto &[name, peer] : peers_) {
        if (peer.vm.zone == self_.zone && peer.lastHeartbeatAt) {
            reports.push_back({name, peer.incarnation, peer.acceptsCallers, now - *peer.lastHeartbeatAt});
        }
    }
    return reports;
}

PeerReport PeerMembership::selfReport() const
{
    const std::lock_guard lock(mutex_);
    return {self_.name, self_.incarnation, acceptsCallers_, 0};
}

std::vector<PeerChange> PeerMembership::takeChanges(Base::MonotonicMs now)
{
    const std::lock_guard lock(mutex_);
    std::vector<PeerChange> changes;
    for (auto &[name, peer] : peers_) {
        const bool alive = isAlive(peer, now) && peer.acceptsCallers;
        if (alive != peer.reportedAlive) {
            peer.reportedAlive = alive;
            changes.push_back({name, alive, peer.lastHeartbeatAt ? now - *peer.lastHeartbeatAt : -1, peer.reporter});
        }
    }
    return changes;
}

} // namespace Wasabistair::Nodes
