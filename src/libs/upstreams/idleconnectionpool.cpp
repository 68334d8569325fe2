#include "idleconnectionpool.h"

#include <algorithm>

namespace Wasabistair::Upstreams {

IdleConnectionPool::IdleConnectionPool(const Base::Clock &clock)
    : clock_(clock)
{}

std::unique_ptr<Http::ByteStream> IdleConnectionPool::take(const std::string &upstreamId, std::int64_t maxIdleMs)
{
    const Base::MonotonicMs now = clock_.monotonic();
    const std::lock_guard lock(mutex_);
    const auto found = idle_.find(upstreamId);
    if (found == idle_.end()) {
        return nullptr;
    }
    std::vector<Idle> &connections = found->second;
    while (!connections.empty()) {
        Idle last = std::move(connections.back());
        connections.pop_back();
        // A readable connection has received unsolicited bytes or was closed by the upstream; neither can be reused.
        const bool usable = now < last.until && now - last.since <= maxIdleMs && !last.stream->isReadable();
        if (usable) {
            return std::move(last.stream);
        }
    }
    return nullptr;
}

void IdleConnectionPool::put(const std::string &upstreamId, std::unique_ptr<Http::ByteStream> stream, std::int64_t idleMs)
{
    const Base::MonotonicMs now = clock_.monotonic();
    const std::lock_guard lock(mutex_);
    idle_[upstreamId].push_back({std::move(stream), now, now + idleMs});
}

void IdleConnectionPool::closeIdle(const std::string &upstreamId)
{
    const std::lock_guard lock(mutex_);
    idle_.erase(upstreamId);
}

void IdleConnectionPool::closeExpired()
{
    const Base::MonotonicMs now = clock_.monotonic();
    const std::lock_guard lock(mutex_);
    for (auto &[id, connections] : idle_) {
        std::erase_if(connections, [&](const Idle &idle) { return now >= idle.until; });
    }
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace Wasabistair::Upstreams
