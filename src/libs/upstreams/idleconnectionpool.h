#pragma once

#include <base/clock.h>
#include <http/bytestream.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Wasabistair::Upstreams {

/// Pool of idle connections to upstreams, kept for reuse. Thread-safe.
class IdleConnectionPool
{
public:
    explicit IdleConnectionPool(const Base::Clock &clock);

    /// Removes and returns the most recently used connection to @p upstreamId that is usable and was idle for at most
    /// @p maxIdleMs; null if there is none.
    [[nodiscard]] std::unique_ptr<Http::ByteStream> take(const std::string &upstreamId, std::int64_t maxIdleMs);
    /// Adds a connection, which is kept for at most @p idleMs.
    void put(const std::string &upstreamId, std::unique_ptr<Http::ByteStream> stream, std::int64_t idleMs);
    /// Closes all idle connections to @p upstreamId.
    void closeIdle(const std::string &upstreamId);
    /// Closes connections whose idle time has run out. Call periodically.
    void closeExpired();

private:
    struct Idle {
        std::unique_ptr<Http::ByteStream> stream;
        Base::MonotonicMs since = 0;
        Base::MonotonicMs until = 0;
    };

    const Base::Clock &clock_;
    std::mutex mutex_;
    std::map<std::string, std::vector<Idle>> idle_;
};

} // namespace Wasabistair::Upstreams
