#pragma once

#include <steering/upstreamrecord.h>

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>

namespace Wasabistair::Model {

/// Simulated upstream with slots, a queue and an LRU cache of objects. Requests are identified by their number.
class ModelUpstream
{
public:
    ModelUpstream(int slots, int queue, int cacheCapacity);

    /// Adds a request to the queue; returns false if all slots and the queue are full.
    [[nodiscard]] bool enqueue(int request);
    /// Moves the next request from the queue into a free slot and returns it; -1 if there is no free slot or no request.
    [[nodiscard]] int startNext();
    /// Ends a running request and caches its object.
    void finish(int object);
    /// Removes a request from the queue; does nothing if it isn't queued.
    void removeQueued(int request);
    [[nodiscard]] bool hasCached(int object) const;
    [[nodiscard]] Steering::ReportedLoad load() const;

    bool refusesConnections = false;
    /// Multiplies the service time of each request.
    std::int64_t serviceTimeFactor = 1;

private:
    const int slots_;
    const std::size_t queueLimit_;
    const std::size_t cacheCapacity_;
    int running_ = 0;
    std::deque<int> waiting_;
    /// Most recently used first.
    std::list<int> cachedObjects_;
    std::unordered_map<int, std::list<int>::iterator> cacheEntries_;
};

} // namespace Wasabistair::Model
