#include "connectionpool.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace Wasabistair::Upstreams {

ConnectionPool::ConnectionPool(const Base::Clock &clock)
    : clock_(clock)
{}

std::unique_ptr<UpstreamSession> ConnectionPool::takeIdle(const std::string &serverId)
{
    const std::lock_guard lock(mutex_);
    Server &server = servers_[serverId];
    while (!server.idle.empty()) {
        Idle candidate = std::move(server.idle.back());
        server.idle.pop_back();
        const bool recentlyUsed = clock_.monotonic() - candidate.since < maxIdleMs;
        if (recentlyUsed && candidate.session->looksUsable()) {
            return std::move(candidate.session);
        }
        --server.open;
    }
    return nullptr;
}

bool ConnectionPool::reserve(const std::string &serverId, std::int64_t limit)
{
    const std::lock_guard lock(mutex_);
    Server &server = servers_[serverId];
    if (server.open >= limit && !server.idle.empty()) {
        server.idle.erase(server.idle.begin());
        --server.open;
    }
    if (server.open >= limit) {
        return false;
    }
    ++server.open;
    return true;
}

void ConnectionPool::countClosed(const std::string &serverId)
{
    const std::lock_guard lock(mutex_);
    --servers_[serverId].open;
}

ConnectionPool::Acquired ConnectionPool::acquire(const std::string &serverId, const Base::HostPort &address, ConnectionUse use, std::int64_t limit)
{
    if (use == ConnectionUse::ReuseIdle) {
        if (auto session = takeIdle(serverId)) {
            return {std::move(session), true};
        }
    }
    if (!reserve(serverId, limit)) {
        return {};
    }
    try {
        auto session = std::make_unique<UpstreamSession>(clock_);
        session->open(address, connectTimeoutMs);
        return {std::move(session), false};
    } catch (const Poco::Exception &) {
        countClosed(serverId);
        return {};
    }
}

void ConnectionPool::release(const std::string &serverId, std::unique_ptr<UpstreamSession> session, bool reusable)
{
    if (!session) {
        return;
    }
    if (!reusable || !session->looksUsable()) {
        session.reset();
        countClosed(serverId);
        return;
    }
    const std::lock_guard lock(mutex_);
    servers_[serverId].idle.push_back({std::move(session), clock_.monotonic()});
}

void ConnectionPool::closeIdle(const std::string &serverId)
{
    const std::lock_guard lock(mutex_);
    Server &server = servers_[serverId];
    server.open -= static_cast<std::int64_t>(server.idle.size());
    server.idle.clear();
}

void ConnectionPool::closeExpired()
{
    const std::lock_guard lock(mutex_);
    const Base::MonotonicMs now = clock_.monotonic();
    for (auto entry = servers_.begin(); entry != servers_.end();) {
        Server &server = entry->second;
        const auto old = std::remove_if(server.idle.begin(), server.idle.end(), [&](const Idle &idle) { return now - idle.since >= maxIdleMs; });
        server.open -= server.idle.end() - old;
        server.idle.erase(old, server.idle.end());
        entry = server.open == 0 ? servers_.erase(entry) : std::next(entry);
    }
}

std::int64_t ConnectionPool::openConnections() const
{
    const std::lock_guard lock(mutex_);
    std::int64_t sum = 0;
    for (const auto &[id, server] : servers_) {
        sum += server.open;
    }
    return sum;
}

} // namespace Wasabistair::Upstreams
