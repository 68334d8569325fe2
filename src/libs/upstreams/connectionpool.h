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
    /// A checked idle connection may serve.
    ReuseIdle,
    /// Only a connection on which nothing was ever sent will do.
    Fresh,
};

/// Connections to all servers, bounded for each. Idle ones are kept for a short time only, so that
/// connections which fell silent are rarely met.
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

    /// A connected session; a null session when no connection could be made or @p limit are open.
    /// Nothing was sent in that case.
    [[nodiscard]] Acquired acquire(const std::string &serverId, const Base::HostPort &address, ConnectionUse use, std::int64_t limit);
    /// Takes back a session. Only one whose last answer was read to its end may be @p reusable.
    void release(const std::string &serverId, std::unique_ptr<UpstreamSession> session, bool reusable);
    /// Closes the idle connections of a server, after one to it went silent.
    void dropIdle(const std::string &serverId);
    /// Closes idle connections that are too old; call from time to time.
    void prune();
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
    void forget(const std::string &serverId);

    const Base::Clock &clock_;
    mutable std::mutex mutex_;
    std::map<std::string, Server> servers_;
};

} // namespace Wasabistair::Upstreams
