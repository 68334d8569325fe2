#pragma once

#include "hybridclock.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Wasabistair::Base {

/// Kinds of events on the timeline.
enum class EventKind {
    Started,
    Ready,
    NotReady,
    Draining,
    GenerationInForce,
    GenerationRefused,
    PeerUp,
    PeerDown,
    PlatformUp,
    PlatformDown,
    SlotClaimed,
    SlotLost,
    StopStarted,
    StopDrained,
    UpstreamLeaving,
};

[[nodiscard]] std::string_view toString(EventKind kind);

/// Event of one process, identified by (node, incarnation, sequence). A process has a new incarnation after each start.
struct Event {
    HybridTime time;
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t generation = 0;
    EventKind kind = EventKind::Started;
    std::string subject;
    std::string cause;

    bool operator==(const Event &) const = default;
};

/// Total order of the events of all processes: hybrid time, then node, incarnation and sequence.
[[nodiscard]] bool happensBefore(const Event &left, const Event &right);

void to_json(nlohmann::json &json, const Event &event);
void from_json(const nlohmann::json &json, Event &event);

/// Bounded record of the events of this process and of its peers. Thread-safe. Drops the oldest events first.
class Timeline
{
public:
    static constexpr std::size_t maxEventsPerNode = 256;
    static constexpr std::size_t maxEvents = 8192;

    Timeline(HybridClock &clock, std::string node, std::uint64_t incarnation);

    void record(EventKind kind, std::uint64_t generation, std::string subject, std::string cause);
    /// Adds events received from other processes and returns the ones that were new. Ignores events of this node and those with a sequence
    /// not above the latest recorded one of their process.
    std::vector<Event> merge(const std::vector<Event> &events);
    /// Events of this process with a sequence above @p sequence, oldest first, at most @p limit.
    [[nodiscard]] std::vector<Event> localEventsAfter(std::uint64_t sequence, std::size_t limit) const;
    /// All recorded events, ordered by happensBefore().
    [[nodiscard]] std::vector<Event> all() const;

private:
    void insert(const Event &event);

    HybridClock &clock_;
    const std::string node_;
    const std::uint64_t incarnation_;
    mutable std::mutex mutex_;
    std::uint64_t lastSequence_ = 0;
    std::size_t size_ = 0;
    std::map<std::pair<std::string, std::uint64_t>, std::deque<Event>> events_;
};

} // namespace Wasabistair::Base
