#pragma once

#include "forwarding.h"

namespace Wasabistair::Callers {

/// Forwards callers' requests to upstreams.
///
/// A non-idempotent request is sent once, on a connection on which nothing was sent before. It is retried only when
/// the first attempt is known not to have been executed: no connection was made, or the server rejected it before
/// execution. An idempotent request may be retried before the first byte of an answer was sent to the caller, within its
/// deadline and the service's retry budget. Under the same limits, a second attempt may race a first one that is slow to
/// answer (a hedge).
class Forwarder
{
public:
    Forwarder(Router &router, Upstreams::ConnectionPool &pool, const Base::Clock &clock, ForwarderLimits limits);

    /// Answers @p exchange, a request to the service @p match.
    void forward(CallerExchange &exchange, const ServiceMatch &match);
    [[nodiscard]] std::int64_t bufferedBytes() const;
    [[nodiscard]] const RetryCounters &retryCounters() const;

private:
    const ForwarderLimits limits_;
    Base::MemoryBudget budget_;
    StreamCounter streams_;
    RetryCounters retryCounters_;
    const ForwardingContext context_;
};

} // namespace Wasabistair::Callers
