#include "timeline.h"

#include "log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <tuple>

namespace Wasabistair::Base {

namespace {

constexpr std::array<std::string_view, 16> kindNames = {
    "started",
    "ready",
    "not-ready",
    "draining",
    "generation-in-force",
    "generation-refused",
    "peer-up",
    "peer-down",
    "platform-up",
    "platform-down",
    "slot-claimed",
    "slot-lost",
    "stop-started",
    "stop-drained",
    "upstream-leaving",
};

EventKind kindFromName(std::string_view name)
{
    const auto found = std::find(kindNames.begin(), kindNames.end(), name);
    return found == kindNames.end() ? EventKind::Started : static_cast<EventKind>(found - kindNames.begin());
}

} // namespace

std::string_view toString(EventKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

bool happensBefore(const Event &left, const Event &right)
{
    return std::tie(left.time, left.node, left.incarnation, left.sequence) < std::tie(right.time, right.node, right.incarnation, right.sequence);
}

void to_json(nlohmann::json &json, const Event &event)
{
    json = {{"wall", event.time.wall}, {"logical", event.time.logical}, {"node", event.node}, {"incarnation", event.incarnation}, {"sequence", event.sequence},
        {"generation", event.generation}, {"kind", std::string(toString(event.kind))}, {"subject", event.subject}, {"cause", event.cause}};
}

void from_json(const nlohmann::json &json, Event &event)
{
    event.time.wall = json.at("wall").get<WallMs>();
    event.time.logical = json.at("logical").get<std::uint32_t>();
    event.node = json.at("node").get<std::string>();
    event.incarnation = json.at("incarnation").get<std::uint64_t>();
    event.sequence = json.at("sequence").get<std::uint64_t>();
    event.generation = json.at("generation").get<std::uint64_t>();
    event.kind = kindFromName(json.at("kind").get<std::string>());
    event.subject = json.at("subject").get<std::string>();
    event.cause = json.at("cause").get<std::string>();
}

Timeline::Timeline(HybridClock &clock, std::string node, std::uint64_t incarnation)
    : clock_(clock)
    , node_(std::move(node))
    , incarnation_(incarnation)
{}

void Timeline::record(EventKind kind, std::uint64_t generation, std::string subject, std::string cause)
{
    log(LogLevel::Info, toString(kind), {{"node", node_}, {"generation", generation}, {"subject", subject}, {"cause", cause}});
    const HybridTime time = clock_.tick();
    const std::lock_guard lock(mutex_);
    insert(Event{time, node_, incarnation_, ++lastSequence_, generation, kind, std::move(subject), std::move(cause)});
}

std::vector<Event> Timeline::merge(const std::vector<Event> &events)
{
    std::vector<Event> added;
    const std::lock_guard lock(mutex_);
    for (const Event &event : events) {
        const auto found = events_.find({event.node, event.incarnation});
        const bool alreadyRecorded = found != events_.end() && !found->second.empty() && found->second.back().sequence >= event.sequence;
        if (alreadyRecorded || event.node == node_) {
            continue;
        }
        clock_.merge(event.time);
        insert(event);
        added.push_back(event);
    }
    return added;
}

void Timeline::insert(const Event &event)
{
    std::deque<Event> &list = events_[{event.node, event.incarnation}];
    list.push_back(event);
    ++size_;
    if (list.size() > maxEventsPerNode) {
        list.pop_front();
        --size_;
    }
    while (size_ > maxEvents) {
        const auto oldest = std::min_element(
            events_.begin(), events_.end(), [](const auto &left, const auto &right) { return happensBefore(left.second.front(), right.second.front()); });
        oldest->second.pop_front();
        --size_;
        if (oldest->second.empty()) {
            events_.erase(oldest);
        }
    }
}

std::vector<Event> Timeline::localEventsAfter(std::uint64_t sequence, std::size_t limit) const
{
    const std::lock_guard lock(mutex_);
    std::vector<Event> result;
    const auto found = events_.find({node_, incarnation_});
    if (found == events_.end()) {
        return result;
    }
    const auto isAtOrBefore = [sequence](const Event &event) { return event.sequence <= sequence; };
    const auto first = std::partition_point(found->second.begin(), found->second.end(), isAtOrBefore);
    const auto count = std::min(limit, static_cast<std::size_t>(found->second.end() - first));
    result.assign(first, first + static_cast<std::ptrdiff_t>(count));
    return result;
}

std::vector<Event> Timeline::all() const
{
    std::vector<Event> result;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[key, list] : events_) {
            result.insert(result.end(), list.begin(), list.end());
        }
    }
    std::sort(result.begin(), result.end(), happensBefore);
    return result;
}

} // namespace Wasabistair::Base
