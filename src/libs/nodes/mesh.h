#pragma once

#include "message.h"
#include "peertable.h"
#include "transport.h"

#include <base/clock.h>
#include <base/hybridclock.h>
#include <base/settings.h>
#include <base/timeline.h>
#include <platform/objectstore.h>
#include <steering/messagedelay.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Wasabistair::Nodes {

struct MeshSettings {
    std::string self;
    std::uint64_t incarnation = 0;
    /// Addresses to dial until a list of VMs was received.
    std::vector<Base::HostPort> seeds;
};

/// Callbacks of the mesh. Called without locks held, from the transport's thread or the one that calls tick().
struct MeshHandlers {
    /// A heartbeat carried a generation above the one in force here.
    std::function<void(std::uint64_t generation, const std::string &manifestDigest)> newerGenerationReceived;
    std::function<void(const Platform::ListDelta &)> listReceived;
    std::function<void(const VmReport &)> reportReceived;
    /// A listed peer sent a hello or a heartbeat.
    std::function<void()> contact;
    /// Returns the bytes of a manifest or part if this process has it.
    std::function<std::optional<std::string>(const std::string &digest)> part;
    /// Returns the delta from version @p baseVersion to the current list; the whole list if @p baseVersion is too old.
    std::function<Platform::ListDelta(Platform::Version baseVersion)> listDelta;
};

/// State of the mesh, for the status API and metrics.
struct MeshStatus {
    std::size_t linksUp = 0;
    std::size_t linksWanted = 0;
    bool isRelay = false;
    std::uint64_t refusedMessages = 0;
    std::vector<std::string> suspects;
};

/// Membership and message exchange between the entry VMs. topology.h defines which of them connect to each other.
class Mesh
{
public:
    static constexpr Base::MonotonicMs heartbeatMs = 3'000;
    /// A connection without a heartbeat for this long is closed; the peer is dialled again and suspected if that fails.
    static constexpr Base::MonotonicMs suspectAfterMs = 10'000;

    Mesh(Transport &transport, const Base::Clock &clock, Base::HybridClock &hybridClock, Base::Timeline &timeline, MeshSettings settings);

    void start(MeshHandlers handlers);
    /// Periodic work, to be called several times a second: dials peers, sends heartbeats and closes connections that timed out.
    void tick();
    void setList(const Platform::VmList &list);
    /// Sets the state sent in heartbeats. A change of @p generation or @p available is sent at once.
    void setState(std::uint64_t generation, const std::string &manifestDigest, bool available);
    /// Sends a report to the relay that collects this VM's group; does nothing if there is no connection to it.
    void sendReport(const VmReport &report);
    /// Requests a part from the peers that have at least @p generation, one by one; blocks up to @p timeoutMs for each of them.
    [[nodiscard]] std::optional<std::string> fetchPart(const std::string &digest, std::uint64_t generation, Base::MonotonicMs timeoutMs);

    /// Entry VMs that do not accept callers, as of the last tick().
    [[nodiscard]] std::vector<std::string> unavailable() const;
    [[nodiscard]] bool isRelay() const;
    /// True on the relay that collects the reports of @p group of its zone.
    [[nodiscard]] bool collectsReportsOf(std::size_t group) const;
    /// True if a relay of this zone has sent a heartbeat within suspectAfterMs.
    [[nodiscard]] bool hasAliveRelay() const;
    /// Number of connected peers from which a heartbeat was received.
    [[nodiscard]] std::size_t peersWithHeartbeat() const;
    [[nodiscard]] MeshStatus status() const;

private:
    struct Link {
        bool outgoing = false;
        bool open = false;
        std::string remoteHost;
        /// The dialled node (or seed address) of an outgoing link; once the hello is received, the node that sent it.
        std::string node;
        std::uint64_t incarnation = 0;
        bool helloReceived = false;
        /// When the last heartbeat was sent, by this VM's clock; until the first one, when the connection was opened.
        Base::MonotonicMs aliveAt = 0;
        Steering::MessageDelay heartbeatDelay;
        Base::MonotonicMs lastHeartbeatSentAt = 0;
        std::optional<Heartbeat> lastHeartbeat;
        std::uint64_t lastEventSent = 0;
        /// Generation whose manifest digest was sent to this peer last.
        std::uint64_t digestSentFor = 0;
    };
    using DeferredCalls = std::vector<std::function<void()>>;

    void opened(ConnectionId id, bool outgoing, const std::string &remoteHost);
    void received(ConnectionId id, const std::string &bytes);
    void closed(ConnectionId id);

    void handle(ConnectionId id, Link &link, const Hello &hello, DeferredCalls &calls);
    void handle(ConnectionId id, Link &link, const Heartbeat &heartbeat, DeferredCalls &calls);
    void handle(ConnectionId id, Link &link, const PartRequest &request, DeferredCalls &calls);
    void handle(ConnectionId id, Link &link, const PartReply &reply, DeferredCalls &calls);
    void handle(ConnectionId id, Link &link, const ListRequest &request, DeferredCalls &calls);
    void handle(ConnectionId id, Link &link, const ListReply &reply, DeferredCalls &calls);
    void handle(ConnectionId id, Link &link, const VmReport &report, DeferredCalls &calls);
    void handle(ConnectionId id, Link &link, const EventBatch &batch, DeferredCalls &calls);

    [[nodiscard]] bool isListed(const std::string &node, const std::string &remoteHost) const;
    [[nodiscard]] std::set<std::string> currentlyUnavailable() const;
    [[nodiscard]] std::optional<ConnectionId> linkTo(const std::string &node) const;
    void closeDuplicateLinks(ConnectionId id);
    void dialDesiredPeers();
    void dialSeeds();
    void dial(const std::string &key, const std::string &host, std::uint16_t port);
    void closeTimedOutLinks();
    void sendHeartbeat(ConnectionId id, Link &link);
    void sendHeartbeats(bool all);
    void sendEvents();

    Transport &transport_;
    const Base::Clock &clock_;
    Base::HybridClock &hybridClock_;
    Base::Timeline &timeline_;
    const MeshSettings settings_;
    MeshHandlers handlers_;

    mutable std::mutex mutex_;
    std::condition_variable partArrived_;
    std::map<ConnectionId, Link> links_;
    PeerTable peers_;
    /// As of the last tick.
    std::set<std::string> unavailable_;
    /// Digests of the parts that fetchPart() waits for; only these are kept in the two members below.
    std::set<std::string> requestedParts_;
    std::map<std::string, std::string> parts_;
    std::set<std::string> missingParts_;
    std::uint64_t generation_ = 0;
    std::string manifestDigest_;
    bool available_ = false;
    std::uint64_t sequence_ = 0;
    std::uint64_t refusedMessages_ = 0;
    Base::MonotonicMs lastListRequest_ = 0;
};

} // namespace Wasabistair::Nodes
