#pragma once

#include <base/clock.h>
#include <http/bytestream.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Wasabistair::Upstreams {

/// Idle connections to upstreams that may be used again. Thread-safe.
class ChannelPool
{
public:
    explicit ChannelPool(const Base::Clock &clock);

    /// The connection to @p upstreamId that was used last, if that was at most @p maxIdleMs ago; null otherwise.
    [[nodiscard]] std::unique_ptr<Http::ByteStream> take(const std::string &upstreamId, std::int64_t maxIdleMs);
    /// Keeps a connection for at most @p idleMs.
    void give(const std::string &upstreamId, std::unique_ptr<Http::ByteStream> stream, std::int64_t idleMs);
    /// Closes all idle connections to @p upstreamId.
    void drop(const std::string &upstreamId);
    /// Closes connections that were idle for too long. Call now and then.
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
