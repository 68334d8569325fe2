#pragma once

#include "message.h"
#include "peertable.h"
#include "transport.h"

#include <base/clock.h>
#include <base/hybridclock.h>
#include <base/settings.h>
#include <base/timeline.h>
#include <platform/objectstore.h>

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
    /// Node addresses to try while no list of VMs is known.
    std::vector<Base::HostPort> seeds;
};

/// What the mesh reports. Called without locks held, from the transport's thread or tick()'s.
struct MeshHandlers {
    /// A peer has a generation in force that is above ours.
    std::function<void(std::uint64_t generation, const std::string &manifestDigest)> generationSeen;
    std::function<void(const Platform::ListDelta &)> listReceived;
    std::function<void(const Report &)> reportReceived;
    /// Any valid message of a listed peer.
    std::function<void()> contact;
    /// Bytes of a part that this process holds.
    std::function<std::optional<std::string>(const std::string &digest)> part;
    /// What leads from version @p known to the present list; the whole list if @p known is too old.
    std::function<Platform::ListDelta(Platform::Version known)> listDelta;
};

/// Figures of the mesh for status and metrics.
struct MeshStatus {
    std::size_t linksUp = 0;
    std::size_t linksWanted = 0;
    bool isRelay = false;
    std::uint64_t refusedMessages = 0;
    std::vector<std::string> suspects;
};

/// Membership and messages between our processes; see topology.h for who connects to whom.
class Mesh
{
public:
    static constexpr Base::MonotonicMs heartbeatMs = 3'000;
    /// A peer that was silent for this long is suspected and its connection replaced.
    static constexpr Base::MonotonicMs suspectAfterMs = 10'000;

    Mesh(Transport &transport, const Base::Clock &clock, Base::HybridClock &hybridClock, Base::Timeline &timeline, MeshSettings settings);

    void start(MeshHandlers handlers);
    /// Call several times a second: connects, sends heartbeats, suspects.
    void tick();
    void setList(const Platform::VmList &list);
    /// State announced in heartbeats; a change is announced at once.
    void setState(std::uint64_t generation, const std::string &manifestDigest, bool available);
    /// Sends a report to the relay that collects this VM's group; nothing while there is no connection to it.
    void sendReport(const Report &report);
    /// Asks peers that have at least @p generation for a part; blocks up to @p timeoutMs for each of them.
    [[nodiscard]] std::optional<std::string> fetchPart(const std::string &digest, std::uint64_t generation, Base::MonotonicMs timeoutMs);

    /// Entry VMs known to take no callers.
    [[nodiscard]] std::vector<std::string> unavailable() const;
    [[nodiscard]] bool isRelay() const;
    /// True on the relay that collects the reports of @p group of its zone.
    [[nodiscard]] bool collects(std::size_t group) const;
    /// True while a relay of the own zone was heard lately.
    [[nodiscard]] bool hearsRelay() const;
    [[nodiscard]] std::size_t peersHeard() const;
    [[nodiscard]] MeshStatus status() const;

private:
    struct Link {
        bool outgoing = false;
        bool open = false;
        std::string remoteHost;
        /// Wanted node of an outgoing link, then the node that said hello.
        std::string node;
        std::uint64_t incarnation = 0;
        bool greeted = false;
        Base::MonotonicMs lastHeard = 0;
        Base::MonotonicMs lastSent = 0;
        std::optional<Heartbeat> beat;
        std::uint64_t lastEventSent = 0;
        /// Generation whose manifest digest this peer was told.
        std::uint64_t digestSent = 0;
    };
    using Calls = std::vector<std::function<void()>>;

    void opened(ConnectionId id, bool outgoing, const std::string &remoteHost);
    void received(ConnectionId id, const std::string &bytes);
    void closed(ConnectionId id);

    void handle(ConnectionId id, Link &link, const Hello &hello, Calls &calls);
    void handle(ConnectionId id, Link &link, const Heartbeat &beat, Calls &calls);
    void handle(ConnectionId id, Link &link, const PartRequest &request, Calls &calls);
    void handle(ConnectionId id, Link &link, const PartReply &reply, Calls &calls);
    void handle(ConnectionId id, Link &link, const ListRequest &request, Calls &calls);
    void handle(ConnectionId id, Link &link, const ListReply &reply, Calls &calls);
    void handle(ConnectionId id, Link &link, const Report &report, Calls &calls);
    void handle(ConnectionId id, Link &link, const EventBatch &batch, Calls &calls);

    [[nodiscard]] bool isListed(const std::string &node, const std::string &remoteHost) const;
    [[nodiscard]] std::set<std::string> currentlyUnavailable() const;
    [[nodiscard]] std::optional<ConnectionId> linkTo(const std::string &node) const;
    void keepOneLink(ConnectionId id);
    void dialWanted();
    void dialSeeds();
    void dial(const std::string &key, const std::string &host, std::uint16_t port);
    void dropSilent();
    void sendBeat(ConnectionId id, Link &link);
    void sendBeats(bool all);
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
    std::map<std::string, std::string> parts_;
    std::set<std::string> missingParts_;
    std::uint64_t generation_ = 0;
    std::string manifestDigest_;
    bool available_ = false;
    std::uint64_t sequence_ = 0;
    std::uint64_t refused_ = 0;
    Base::MonotonicMs lastListRequest_ = 0;
};

} // namespace Wasabistair::Nodes
