#include "mesh.h"

#include "availability.h"
#include "topology.h"

#include <base/log.h>

#include <algorithm>

namespace Wasabistair::Nodes {

namespace {

using Steering::Vm;

constexpr Base::MonotonicMs listRequestIntervalMs = 300;
/// A connection that said no hello within this time is closed.
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
        if (link.greeted && link.node == node) {
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
    link.lastHeard = clock_.monotonic();
    transport_.send(id, encodeMessage(Hello{settings_.self, settings_.incarnation}));
}

void Mesh::received(ConnectionId id, const std::string &bytes)
{
    Calls calls;
    {
        const std::lock_guard lock(mutex_);
        const auto found = links_.find(id);
        if (found == links_.end()) {
            return;
        }
        const auto message = decodeMessage(bytes);
        Link &link = found->second;
        const bool greeting = message && std::holds_alternative<Hello>(*message);
        if (!message || greeting == link.greeted) {
            ++refused_;
            Base::log(Base::LogLevel::Warning, "message-refused", {{"node", link.node}, {"remote", link.remoteHost}, {"bytes", bytes.size()}});
            transport_.close(id);
            return;
        }
        link.lastHeard = clock_.monotonic();
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
    if (link.greeted) {
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

void Mesh::keepOneLink(ConnectionId id)
{
    const Link &link = links_[id];
    for (const auto &[otherId, other] : links_) {
        if (otherId == id || !other.greeted || other.node != link.node) {
            continue;
        }
        // An older incarnation is gone. Of two connections made at once, both ends keep the one that
        // the smaller id dialled.
        const bool otherIsOld = other.incarnation < link.incarnation;
        const bool smallerDials = settings_.self < link.node;
        const bool keepNew = otherIsOld || (other.outgoing == link.outgoing) || link.outgoing == smallerDials;
        transport_.close(keepNew ? otherId : id);
    }
}

void Mesh::handle(ConnectionId id, Link &link, const Hello &hello, Calls &calls)
{
    if (hello.node == settings_.self || !isListed(hello.node, link.remoteHost)) {
        ++refused_;
        Base::log(Base::LogLevel::Warning, "peer-not-listed", {{"node", hello.node}, {"remote", link.remoteHost}});
        transport_.close(id);
        return;
    }
    if (link.outgoing && link.node != hello.node) {
        // A seed, or another VM under the same address.
        peers_.forgetDial(link.node);
    }
    const bool known = linkTo(hello.node).has_value();
    link.node = hello.node;
    link.incarnation = hello.incarnation;
    link.greeted = true;
    peers_.connected(hello.node);
    keepOneLink(id);
    if (!known) {
        timeline_.record(Base::EventKind::PeerUp, generation_, hello.node, "hello");
    }
    sendBeat(id, link);
    calls.push_back(handlers_.contact);
}

void Mesh::handle(ConnectionId id, Link &link, const Heartbeat &beat, Calls &calls)
{
    if (link.beat && beat.sequence <= link.beat->sequence) {
        return;
    }
    hybridClock_.merge(beat.time);
    link.beat = beat;
    calls.push_back(handlers_.contact);
    if (beat.generation > generation_ && !beat.manifestDigest.empty()) {
        calls.push_back([this, beat] { handlers_.generationSeen(beat.generation, beat.manifestDigest); });
    }
    const Base::MonotonicMs now = clock_.monotonic();
    if (beat.listVersion > peers_.list().version && now - lastListRequest_ >= listRequestIntervalMs) {
        lastListRequest_ = now;
        transport_.send(id, encodeMessage(ListRequest{peers_.list().version}));
    }
}

void Mesh::handle(ConnectionId id, Link &, const PartRequest &request, Calls &calls)
{
    calls.push_back([this, id, digest = request.digest] {
        const auto bytes = handlers_.part(digest);
        transport_.send(id, encodeMessage(PartReply{digest, bytes.has_value(), bytes.value_or(std::string())}));
    });
}

void Mesh::handle(ConnectionId, Link &, const PartReply &reply, Calls &)
{
    if (reply.found) {
        parts_[reply.digest] = reply.bytes;
    } else {
        missingParts_.insert(reply.digest);
    }
    partArrived_.notify_all();
}

void Mesh::handle(ConnectionId id, Link &, const ListRequest &request, Calls &calls)
{
    calls.push_back([this, id, known = request.known] { transport_.send(id, encodeMessage(ListReply{handlers_.listDelta(known)})); });
}

void Mesh::handle(ConnectionId, Link &, const ListReply &reply, Calls &calls)
{
    calls.push_back([this, delta = reply.delta] { handlers_.listReceived(delta); });
}

void Mesh::handle(ConnectionId, Link &link, const Report &report, Calls &calls)
{
    if (report.node != link.node) {
        ++refused_;
        return;
    }
    calls.push_back([this, report] { handlers_.reportReceived(report); });
}

void Mesh::handle(ConnectionId id, Link &, const EventBatch &batch, Calls &)
{
    const std::vector<Base::Event> added = timeline_.merge(batch.events);
    const Vm *own = peers_.self();
    if (!own) {
        return;
    }
    // A relay passes its zone's events on to the relays of other zones; those pass them no further.
    EventBatch onward;
    for (const Base::Event &event : added) {
        if (peers_.zoneOf(event.node) == own->zone) {
            onward.events.push_back(event);
        }
    }
    if (onward.events.empty()) {
        return;
    }
    const std::string bytes = encodeMessage(onward);
    for (const auto &[otherId, other] : links_) {
        if (otherId != id && other.greeted && peers_.zoneOf(other.node) != own->zone) {
            transport_.send(otherId, bytes);
        }
    }
}

void Mesh::setList(const Platform::VmList &list)
{
    const std::lock_guard lock(mutex_);
    if (!peers_.setList(list, clock_.monotonic())) {
        return;
    }
    for (const auto &[id, link] : links_) {
        if (link.greeted && !peers_.find(link.node)) {
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
        sendBeats(true);
    }
}

void Mesh::tick()
{
    const std::lock_guard lock(mutex_);
    unavailable_ = currentlyUnavailable();
    dropSilent();
    dialWanted();
    sendBeats(false);
    sendEvents();
}

void Mesh::dropSilent()
{
    const Base::MonotonicMs now = clock_.monotonic();
    for (const auto &[id, link] : links_) {
        const Base::MonotonicMs limit = link.greeted ? suspectAfterMs : helloTimeoutMs;
        if (link.open && now - link.lastHeard >= limit) {
            transport_.close(id);
        }
    }
}

void Mesh::dialWanted()
{
    if (!peers_.self()) {
        dialSeeds();
        return;
    }
    std::set<std::string> linked;
    for (const auto &[id, link] : links_) {
        linked.insert(link.node);
    }
    for (const std::string &node : peers_.worthDialling()) {
        const Vm *vm = linked.contains(node) ? nullptr : peers_.find(node);
        if (vm) {
            dial(node, vm->host, vm->nodePort);
        }
    }
}

void Mesh::dialSeeds()
{
    const bool anyGreeted = std::any_of(links_.begin(), links_.end(), [](const auto &entry) { return entry.second.greeted; });
    for (const Base::HostPort &seed : settings_.seeds) {
        const std::string key = seedKey(seed);
        const bool dialled = std::any_of(links_.begin(), links_.end(), [&](const auto &entry) { return entry.second.node == key; });
        if (!anyGreeted && !dialled) {
            dial(key, seed.host, seed.port);
        }
    }
}

void Mesh::dial(const std::string &key, const std::string &host, std::uint16_t port)
{
    const Base::MonotonicMs now = clock_.monotonic();
    if (!peers_.startDial(key, now)) {
        return;
    }
    const ConnectionId id = transport_.connect(host, port);
    Link &link = links_[id];
    link.outgoing = true;
    link.node = key;
    link.lastHeard = now;
}

void Mesh::sendBeat(ConnectionId id, Link &link)
{
    Heartbeat beat;
    beat.sequence = ++sequence_;
    beat.time = hybridClock_.tick();
    beat.generation = generation_;
    if (link.digestSent != generation_) {
        beat.manifestDigest = manifestDigest_;
        link.digestSent = generation_;
    }
    beat.listVersion = peers_.list().version;
    beat.available = available_;
    const Vm *own = peers_.self();
    if (own && peers_.isOwnRelay(own->id)) {
        const bool sameZone = peers_.zoneOf(link.node) == own->zone;
        for (const std::string &node : unavailable_) {
            if (beat.unavailable.size() < maxUnavailable && (sameZone || peers_.zoneOf(node) == own->zone)) {
                beat.unavailable.push_back(node);
            }
        }
    }
    link.lastSent = clock_.monotonic();
    transport_.send(id, encodeMessage(beat));
}

void Mesh::sendBeats(bool all)
{
    const Base::MonotonicMs now = clock_.monotonic();
    for (auto &[id, link] : links_) {
        if (link.greeted && (all || now - link.lastSent >= heartbeatMs)) {
            sendBeat(id, link);
        }
    }
}

void Mesh::sendEvents()
{
    for (auto &[id, link] : links_) {
        if (!link.greeted) {
            continue;
        }
        const std::vector<Base::Event> events = timeline_.ownAfter(link.lastEventSent, maxEventsPerBatch);
        if (!events.empty()) {
            link.lastEventSent = events.back().sequence;
            transport_.send(id, encodeMessage(EventBatch{events}));
        }
    }
}

void Mesh::sendReport(const Report &report)
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
        if (link.greeted && link.beat && link.beat->generation >= generation) {
            candidates.push_back(id);
        }
    }
    for (const ConnectionId id : candidates) {
        parts_.erase(digest);
        missingParts_.erase(digest);
        transport_.send(id, encodeMessage(PartRequest{digest}));
        const auto settled = [&] { return parts_.contains(digest) || missingParts_.contains(digest) || !links_.contains(id); };
        partArrived_.wait_for(lock, std::chrono::milliseconds(timeoutMs), settled);
        const auto found = parts_.find(digest);
        if (found != parts_.end()) {
            std::string bytes = std::move(found->second);
            parts_.erase(found);
            return bytes;
        }
    }
    return std::nullopt;
}

std::set<std::string> Mesh::currentlyUnavailable() const
{
    std::vector<HeardPeer> heard;
    for (const auto &[id, link] : links_) {
        if (link.greeted) {
            heard.push_back({link.node, link.beat ? &*link.beat : nullptr});
        }
    }
    return unavailableNodes(peers_, settings_.self, heard, clock_.monotonic());
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

bool Mesh::collects(std::size_t group) const
{
    const std::lock_guard lock(mutex_);
    return collectorOf(peers_.ownRelays(), group) == settings_.self;
}

bool Mesh::hearsRelay() const
{
    const std::lock_guard lock(mutex_);
    const auto &relays = peers_.ownRelays();
    const Base::MonotonicMs now = clock_.monotonic();
    return std::any_of(links_.begin(), links_.end(), [&](const auto &entry) {
        const Link &link = entry.second;
        return link.greeted && now - link.lastHeard < suspectAfterMs && std::find(relays.begin(), relays.end(), link.node) != relays.end();
    });
}

std::size_t Mesh::peersHeard() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto &entry) { return entry.second.beat.has_value(); }));
}

MeshStatus Mesh::status() const
{
    MeshStatus status;
    status.isRelay = isRelay();
    const std::lock_guard lock(mutex_);
    status.linksUp = static_cast<std::size_t>(std::count_if(links_.begin(), links_.end(), [](const auto &entry) { return entry.second.greeted; }));
    status.linksWanted = peers_.wanted().size();
    status.refusedMessages = refused_;
    const std::set<std::string> suspects = peers_.suspects();
    status.suspects.assign(suspects.begin(), suspects.end());
    return status;
}

} // namespace Wasabistair::Nodes
