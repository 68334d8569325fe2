#pragma once

#include "upstreamsession.h"

#include <base/clock.h>
#include <base/settings.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Wasabistair::Upstreams {

enum class ConnectionUse {
    /// An idle connection may be reused after a check.
    ReuseIdle,
    /// Requires a connection on which nothing was ever sent.
    Fresh,
};

/// Connections to all servers, with a limit for each server. Idle connections are kept only for a short time, so that
/// dead ones are rarely reused. Thread-safe.
class ConnectionPool
{
public:
    explicit ConnectionPool(const Base::Clock &clock);

    static constexpr Base::MonotonicMs maxIdleMs = 10'000;
    static constexpr int connectTimeoutMs = 1'000;

    struct Acquired {
        std::unique_ptr<UpstreamSession> session;
        bool reused = false;
    };

    /// Returns a connected session, or a null session when no connection could be made or @p limit connections to the
    /// server are open; nothing was sent in that case.
    [[nodiscard]] Acquired acquire(const std::string &serverId, const Base::HostPort &address, ConnectionUse use, std::int64_t limit);
    /// Returns a session to the pool. @p reusable may be true only when its last answer was read to the end.
    void release(const std::string &serverId, std::unique_ptr<UpstreamSession> session, bool reusable);
    /// Closes the idle connections to a server. For use after one of its connections went dead.
    void closeIdle(const std::string &serverId);
    /// Closes connections that were idle for maxIdleMs. Call periodically.
    void closeExpired();
    [[nodiscard]] std::int64_t openConnections() const;

private:
    struct Idle {
        std::unique_ptr<UpstreamSession> session;
        Base::MonotonicMs since;
    };
    struct Server {
        std::vector<Idle> idle;
        std::int64_t open = 0;
    };

    [[nodiscard]] std::unique_ptr<UpstreamSession> takeIdle(const std::string &serverId);
    bool reserve(const std::string &serverId, std::int64_t limit);
    void countClosed(const std::string &serverId);

    const Base::Clock &clock_;
    mutable std::mutex mutex_;
    std::map<std::string, Server> servers_;
};

} // namespace Wasabistair::Upstreams
