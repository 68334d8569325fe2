#include "mesh.h"

#include "availability.h"
#include "topology.h"

#include <base/log.h>

#include <algorithm>

namespace Wasabistair::Nodes {

namespace {

using Steering::Vm;

/// A connection without a hello within this time is closed.
constexpr Base::MonotonicMs helloTimeoutMs = 3'000;

std::string seedKey(const Base::HostPort &seed)
{
    return seed.host + ":" + std::to_string(seed.port);
}

} // namespace

Mesh::Mesh(Transport &transport, const Base::Clock &clock, Base::HybridClock &hybridClock, Base::Timeline &timeline, MeshSettings settings)
    : transport_(transport)
    , clock_(clock)
    , hybridClock_(hybridClock)
    , timeline_(timeline)
    , settings_(std::move(settings))
    , peers_(settings_.self)
{}

void Mesh::start(MeshHandlers handlers)
{
    handlers_ = std::move(handlers);
    TransportHandlers transportHandlers;
    transportHandlers.opened = [this](ConnectionId id, bool outgoing, const std::string &host) { opened(id, outgoing, host); };
    transportHandlers.received = [this](ConnectionId id, const std::string &bytes) { received(id, bytes); };
    transportHandlers.closed = [this](ConnectionId id) { closed(id); };
    transport_.start(std::move(transportHandlers));
}

bool Mesh::isListed(const std::string &node, const std::string &remoteHost) const
{
    if (peers_.list().vms.empty()) {
        return std::any_of(settings_.seeds.begin(), settings_.seeds.end(), [&](const Base::HostPort &seed) { return seed.host == remoteHost; });
    }
    return peers_.isListed(node, remoteHost);
}

std::optional<ConnectionId> Mesh::linkTo(const std::string &node) const
{
    for (const auto &[id, link] : links_) {
        if (link.helloReceived && link.node == node) {
            return id;
        }
    }
    return std::nullopt;
}

void Mesh::opened(ConnectionId id, bool outgoing, const std::string &remoteHost)
{
    const std::lock_guard lock(mutex_);
    Link &link = links_[id];
    link.outgoing = outgoing;
    link.open = true;
    link.remoteHost = remoteHost;
    link.aliveAt = clock_.monotonic();
    transport_.send(id, encodeMessage(Hello{settings_.self, settings_.incarnation}));
}

void Mesh::received(ConnectionId id, const std::string &bytes)
{
    DeferredCalls calls;
    {
        const std::lock_guard lock(mutex_);
        const auto found = links_.find(id);
        if (found == links_.end()) {
            return;
        }
        const auto message = decodeMessage(bytes);
        Link &link = found->second;
        const bool isHello = message && std::holds_alternative<Hello>(*message);
        if (!message || isHello == link.helloReceived) {
            ++refusedMessages_;
            Base::log(Base::LogLevel::Warning, "message-refused", {{"node", link.node}, {"remote", link.remoteHost}, {"bytes", bytes.size()}});
            transport_.close(id);
            return;
        }
        std::visit([&](const auto &typed) { handle(id, link, typed, calls); }, *message);
    }
    for (const auto &call : calls) {
        call();
    }
}

void Mesh::closed(ConnectionId id)
{
    const std::lock_guard lock(mutex_);
    const auto found = links_.find(id);
    if (found == links_.end()) {
        return;
    }
    const Link link = found->second;
    links_.erase(found);
    if (link.helloReceived) {
        if (!linkTo(link.node)) {
            timeline_.record(Base::EventKind::PeerDown, generation_, link.node, "connection closed");
            peers_.connectionLost(link.node, clock_.monotonic());
        }
        partArrived_.notify_all();
        return;
    }
    if (link.outgoing) {
        peers_.dialFailed(link.node, clock_.monotonic());
    }
}

void Mesh::closeDuplicateLinks(ConnectionId id)
{
    const Link &link = links_[id];
    for (const auto &[otherId, other] : links_) {
        if (otherId == id || !other.helloReceived || other.node != link.node) {
            continue;
        }
        // A connection to an older incarnation of the peer is obsolete. If both ends dialled at the same time, both keep the
        // connection dialled by the VM with the smaller id.
        const bool otherIsOld = other.incarnation < link.incarnation;
        const bool smallerDials = settings_.self < link.node;
        const bool keepNew = otherIsOld || (other.outgoing == link.outgoing) || link.outgoing == smallerDials;
        transport_.close(keepNew ? otherId : id);
    }
}

void Mesh::setList(const Platform::VmList &list)
{
    const std::lock_guard lock(mutex_);
    if (!peers_.setList(list, clock_.monotonic())) {
        return;
    }
    for (const auto &[id, link] : links_) {
        if (link.helloReceived && !peers_.find(link.node)) {
            transport_.close(id);
        }
    }
}

void Mesh::setState(std::uint64_t generation, const std::string &manifestDigest, bool available)
{
    const std::lock_guard lock(mutex_);
    const bool changed = generation != generation_ || available != available_;
    generation_ = generation;
    manifestDigest_ = manifestDigest;
    available_ = available;
    if (changed) {
        sendHeartbeats(true);
    }
}

void Mesh::tick()
{
    const std::lock_guard lock(mutex_);
    unavailable_ = currentlyUnavailable();
    closeTimedOutLinks();
    dialDesiredPeers();
    sendHeartbeats(false);
    sendEvents();
}

void Mesh::closeTimedOutLinks()
{
    const Base::MonotonicMs now = clock_.monotonic();
    for (const auto &[id, link] : links_) {
        const Base::MonotonicMs limit = link.helloReceived ? suspectAfterMs : helloTimeoutMs;
        if (link.open && now - link.aliveAt >= limit) {
            transport_.close(id);
        }
    }
}

void Mesh::dialDesiredPeers()
{
    if (!peers_.self()) {
        dialSeeds();
        return;
    }
    std::set<std::string> linked;
    for (const auto &[id, link] : links_) {
        linked.insert(link.node);
    }
    for (const std::string &node : peers_.dialTargets()) {
        const Vm *vm = linked.contains(node) ? nullptr : peers_.find(node);
        if (vm) {
            dial(node, vm->host, vm->nodePort);
        }
    }
}

void Mesh::dialSeeds()
{
    const bool anyPeerConnected = std::any_of(links_.begin(), links_.end(), [](const auto &entry) { return entry.second.helloReceived; });
    for (const Base::HostPort &seed : settings_.seeds) {
        const std::string key = seedKey(seed);
        const bool dialled = std::any_of(links_.begin(), links_.end(), [&](const auto &entry) { return entry.second.node == key; });
        if (!anyPeerConnected && !dialled) {
            dial(key, seed.host, seed.port);
        }
    }
}

void Mesh::dial(const std::string &key, const std::string &host, std::uint16_t port)
{
    const Base::MonotonicMs now = clock_.monotonic();
    if (!peers_.tryStartDial(key, now)) {
        return;
    }
    const ConnectionId id = transport_.connect(host, port);
    Link &link = links_[id];
    link.outgoing = true;
    link.node = key;
    link.aliveAt = now;
}

void Mesh::sendHeartbeat(ConnectionId id, Link &link)
{
    Heartbeat heartbeat;
    heartbeat.sequence = ++sequence_;
    heartbeat.time = hybridClock_.tick();
    heartbeat.generation = generation_;
    if (link.digestSentFor != generation_) {
        heartbeat.manifestDigest = manifestDigest_;
        link.digestSentFor = generation_;
    }
    heartbeat.listVersion = peers_.list().version;
    heartbeat.available = available_;
    heartbeat.sentAt = clock_.monotonic();
    const Vm *own = peers_.self();
    if (own && peers_.isOwnRelay(own->id)) {
        const bool sameZone = peers_.zoneOf(link.node) == own->zone;
        for (const std::string &node : unavailable_) {
            if (heartbeat.unavailable.size() < maxUnavailable && (sameZone || peers_.zoneOf(node) == own->zone)) {
                heartbeat.unavailable.push_back(node);
            }
        }
    }
    link.lastHeartbeatSentAt = heartbeat.sentAt;
    transport_.send(id, encodeMessage(heartbeat));
}

void Mesh::sendHeartbeats(bool all)
{
    const Base::MonotonicMs now = clock_.monotonic();
    for (auto &[id, link] : links_) {
        if (link.helloReceived && (all || now - link.lastHeartbeatSentAt >= heartbeatMs)) {
            sendHeartbeat(id, link);
        }
    }
}

void Mesh::sendEvents()
{
    for (auto &[id, link] : links_) {
        if (!link.helloReceived) {
            continue;
        }
        const std::vector<Base::Event> events = timeline_.localEventsAfter(link.lastEventSent, maxEventsPerBatch);
        if (!events.empty()) {
            link.lastEventSent = events.back().sequence;
            transport_.send(id, encodeMessage(EventBatch{events}));
        }
    }
}

void Mesh::sendReport(const VmReport &report)
{
    const std::lock_guard lock(mutex_);
    const std::string collector = collectorOf(peers_.ownRelays(), reportGroupOf(settings_.self));
    if (const auto id = linkTo(collector)) {
        transport_.send(*id, encodeMessage(report));
    }
}

std::optional<std::string> Mesh::fetchPart(const std::string &digest, std::uint64_t generation, Base::MonotonicMs timeoutMs)
{
    std::unique_lock lock(mutex_);
    std::vector<ConnectionId> candidates;
    for (const auto &[id, link] : links_) {
        if (link.helloReceived && link.lastHeartbeat && link.lastHeartbeat->generation >= generation) {
            candidates.push_back(id);
        }
    }
    for (const ConnectionId id : candidates) {
        requestedParts_.insert(digest);
        transport_.send(id, encodeMessage(PartRequest{digest}));
        const auto finished = [&] { return parts_.contains(digest) || missingParts_.contains(digest) || !links_.contains(id); };
        partArrived_.wait_for(lock, std::chrono::milliseconds(timeoutMs), finished);
        requestedParts_.erase(digest);
        missingParts_.erase(digest);
        if (auto part = parts_.extract(digest)) {
            return std::move(part.mapped());
        }
    }
    return std::nullopt;
}

std::set<std::string> Mesh::currentlyUnavailable() const
{
    std::vector<ConnectedPeer> connectedPeers;
    for (const auto &[id, link] : links_) {
        if (link.helloReceived) {
            connectedPeers.push_back({link.node, link.lastHeartbeat ? &*link.lastHeartbeat : nullptr});
        }
    }
    return unavailableNodes(peers_, settings_.self, connectedPeers, clock_.monotonic());
}

std::vector<std::string> Mesh::unavailable() const
{
    const std::lock_guard lock(mutex_);
    return {unavailable_.begin(), unavailable_.end()};
}

bool Mesh::isRelay() const
{
    const std::lock_guard lock(mutex_);
    return peers_.isOwnRelay(settings_.self);
}

bool Mesh::collectsReportsOf(std::size_t group) const
{
    const std::lock_guard lock(mutex_);
    return collectorOf(peers_.ownRelays(), group) == settings_.self;
}

bool Mesh::hasAliveRelay() const
{
    const std::lock_guard lock(mutex_);
    const auto &relays = peers_.ownRelays();
    const Base::MonotonicMs now = clock_.monotonic();
    return std::any_of(links_.begin(), links_.end(), [&](const auto &entry) {
        const Link &link = entry.second;
        return link.helloReceived && now - link.aliveAt < suspectAfterMs && std::find(relays.begin(), relays.end(), link.node) != relays.end();
    });
}

std::size_t Mesh::peersWithHeartbeat() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto &entry) { return entry.second.lastHeartbeat.has_value(); }));
}

MeshStatus Mesh::status() const
{
    MeshStatus status;
    status.isRelay = isRelay();
    const std::lock_guard lock(mutex_);
    status.linksUp = static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto &entry) { return entry.second.helloReceived; }));
    status.linksWanted = peers_.desired().size();
    status.refusedMessages = refusedMessages_;
    const std::set<std::string> suspects = peers_.suspects();
    status.suspects.assign(suspects.begin(), suspects.end());
    return status;
}

} // namespace Wasabistair::Nodes
