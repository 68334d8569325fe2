#pragma once

#include <steering/upstreamrecord.h>

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>

namespace Wasabistair::Model {

/// An upstream with slots, a queue and a memory of objects. Requests are known by their number.
class ModelUpstream
{
public:
    ModelUpstream(int slots, int queue, int remembered);

    /// Takes a request; false when the queue is full.
    [[nodiscard]] bool arrive(int request);
    /// The next request to be run, if a slot is free; -1 when there is none. It takes a slot.
    [[nodiscard]] int startNext();
    /// Ends a running request and remembers its object.
    void finish(int object);
    /// Takes a request out if it waits.
    void withdraw(int request);
    [[nodiscard]] bool knows(int object) const;
    [[nodiscard]] Steering::ReportedLoad load() const;

    bool refusesConnections = false;
    /// Factor on the time of each request.
    std::int64_t slowness = 1;

private:
    const int slots_;
    const std::size_t queueLimit_;
    const std::size_t remembered_;
    int running_ = 0;
    std::deque<int> waiting_;
    /// Most recently used first.
    std::list<int> objects_;
    std::unordered_map<int, std::list<int>::iterator> places_;
};

} // namespace Wasabistair::Model
