#pragma once

#include "forwarding.h"

namespace Wasabistair::Callers {

/// Forwards callers' requests to upstreams.
///
/// A non-idempotent request travels on a connection on which nothing was sent before, and is sent once.
/// It is sent again only where the first try is known not to have run: no connection was made, or the
/// server said that it refused. An idempotent request may be tried again, before the first byte of an
/// answer went to the caller, within its deadline and the service's retry budget; so may a second try race a
/// first that is slow to answer (a hedge).
class Forwarder
{
public:
    Forwarder(Router &router, Upstreams::ConnectionPool &pool, const Base::Clock &clock, ForwarderLimits limits);

    /// Answers @p exchange; @p match is the service that it belongs to.
    void forward(CallerExchange &exchange, const ServiceMatch &match);
    [[nodiscard]] std::int64_t bufferedBytes() const;
    [[nodiscard]] const TryCounters &tries() const;

private:
    const ForwarderLimits limits_;
    Base::MemoryBudget budget_;
    StreamCounter streams_;
    TryCounters tries_;
    const ForwardingContext context_;
};

} // namespace Wasabistair::Callers
