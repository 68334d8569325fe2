#pragma once

#include "bodybuffer.h"
#include "callerexchange.h"
#include "router.h"

#include <base/clock.h>
#include <upstreams/connectionpool.h>

#include <map>
#include <mutex>
#include <string>

namespace Wasabistair::Callers {

/// How request bodies are held.
struct ForwarderLimits {
    /// Memory for all request bodies together.
    std::int64_t bufferBytes = 0;
    /// Time that a caller may take for a body in all.
    std::int64_t bodyTimeoutMs = 0;
};

/// Counts requests whose bodies are streamed, by service.
class StreamCounter
{
public:
    bool tryEnter(const std::string &service, std::int64_t limit);
    void leave(const std::string &service);

private:
    std::mutex mutex_;
    std::map<std::string, std::int64_t> counts_;
};

/// Forwards callers' requests to upstreams.
///
/// A non-idempotent request travels on a connection on which nothing was sent before, and is sent once.
/// It is sent again only where the first try is known not to have run: no connection was made, or the
/// server said that it refused. An idempotent request may be tried again, before the first byte of an
/// answer went to the caller, within its deadline and the service's retry budget.
class Forwarder
{
public:
    Forwarder(Router &router, Upstreams::ConnectionPool &pool, const Base::Clock &clock, ForwarderLimits limits);

    /// Answers @p exchange; @p match is the service that it belongs to.
    void forward(CallerExchange &exchange, const ServiceMatch &match);
    [[nodiscard]] std::int64_t bufferedBytes() const;

private:
    Router &router_;
    Upstreams::ConnectionPool &pool_;
    const Base::Clock &clock_;
    const ForwarderLimits limits_;
    BufferBudget budget_;
    StreamCounter streams_;
};

} // namespace Wasabistair::Callers
