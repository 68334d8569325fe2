#include "mesh.h"

#include <base/log.h>

#include <algorithm>

/// What the mesh does with each type of message.
namespace Wasabistair::Nodes {

namespace {

using Steering::Vm;

constexpr Base::MonotonicMs listRequestIntervalMs = 300;

} // namespace

void Mesh::handle(ConnectionId id, Link &link, const Hello &hello, DeferredCalls &calls)
{
    if (hello.node == settings_.self || !isListed(hello.node, link.remoteHost)) {
        ++refusedMessages_;
        Base::log(Base::LogLevel::Warning, "peer-not-listed", {{"node", hello.node}, {"remote", link.remoteHost}});
        transport_.close(id);
        return;
    }
    if (link.outgoing && link.node != hello.node) {
        // The dialled address was a seed, or belongs to another VM now.
        peers_.removeDial(link.node);
    }
    const bool alreadyConnected = linkTo(hello.node).has_value();
    link.node = hello.node;
    link.incarnation = hello.incarnation;
    link.helloReceived = true;
    peers_.connected(hello.node);
    closeDuplicateLinks(id);
    if (!alreadyConnected) {
        timeline_.record(Base::EventKind::PeerUp, generation_, hello.node, "hello");
    }
    sendHeartbeat(id, link);
    calls.push_back(handlers_.contact);
}

void Mesh::handle(ConnectionId id, Link &link, const Heartbeat &heartbeat, DeferredCalls &calls)
{
    if (link.lastHeartbeat && heartbeat.sequence <= link.lastHeartbeat->sequence) {
        return;
    }
    hybridClock_.merge(heartbeat.time);
    link.lastHeartbeat = heartbeat;
    const Base::MonotonicMs now = clock_.monotonic();
    const std::int64_t delayMs = heartbeat.sentAt == 0 ? 0 : link.heartbeatDelay.record({heartbeat.sentAt, now, now});
    link.aliveAt = std::max(link.aliveAt, now - delayMs);
    calls.push_back(handlers_.contact);
    if (heartbeat.generation > generation_ && !heartbeat.manifestDigest.empty()) {
        calls.push_back([this, heartbeat] { handlers_.newerGenerationReceived(heartbeat.generation, heartbeat.manifestDigest); });
    }
    if (heartbeat.listVersion > peers_.list().version && now - lastListRequest_ >= listRequestIntervalMs) {
        lastListRequest_ = now;
        transport_.send(id, encodeMessage(ListRequest{peers_.list().version}));
    }
}

void Mesh::handle(ConnectionId id, Link &, const PartRequest &request, DeferredCalls &calls)
{
    calls.push_back([this, id, digest = request.digest] {
        const auto bytes = handlers_.part(digest);
        transport_.send(id, encodeMessage(PartReply{digest, bytes.has_value(), bytes.value_or(std::string())}));
    });
}

void Mesh::handle(ConnectionId, Link &, const PartReply &reply, DeferredCalls &)
{
    if (!requestedParts_.contains(reply.digest)) {
        // Nobody waits for it, or no longer does.
        ++refusedMessages_;
        return;
    }
    if (reply.found) {
        parts_[reply.digest] = reply.bytes;
    } else {
        missingParts_.insert(reply.digest);
    }
    partArrived_.notify_all();
}

void Mesh::handle(ConnectionId id, Link &, const ListRequest &request, DeferredCalls &calls)
{
    calls.push_back([this, id, baseVersion = request.baseVersion] { transport_.send(id, encodeMessage(ListReply{handlers_.listDelta(baseVersion)})); });
}

void Mesh::handle(ConnectionId, Link &, const ListReply &reply, DeferredCalls &calls)
{
    calls.push_back([this, delta = reply.delta] { handlers_.listReceived(delta); });
}

void Mesh::handle(ConnectionId, Link &link, const VmReport &report, DeferredCalls &calls)
{
    if (report.node != link.node) {
        ++refusedMessages_;
        return;
    }
    calls.push_back([this, report] { handlers_.reportReceived(report); });
}

void Mesh::handle(ConnectionId id, Link &, const EventBatch &batch, DeferredCalls &)
{
    const std::vector<Base::Event> added = timeline_.merge(batch.events);
    const Vm *own = peers_.self();
    if (!own) {
        return;
    }
    // A relay forwards the events of its zone to the relays of other zones, which do not forward them any further.
    EventBatch forwarded;
    for (const Base::Event &event : added) {
        if (peers_.zoneOf(event.node) == own->zone) {
            forwarded.events.push_back(event);
        }
    }
    if (forwarded.events.empty()) {
        return;
    }
    const std::string bytes = encodeMessage(forwarded);
    for (const auto &[otherId, other] : links_) {
        if (otherId != id && other.helloReceived && peers_.zoneOf(other.node) != own->zone) {
            transport_.send(otherId, bytes);
        }
    }
}

} // namespace Wasabistair::Nodes
