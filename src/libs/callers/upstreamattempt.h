#pragma once

#include "router.h"

#include <base/clock.h>
#include <upstreams/connectionpool.h>
#include <upstreams/exchange.h>

#include <cstdint>
#include <memory>

namespace Wasabistair::Callers {

/// One attempt to send a request: the unit that it occupies, its connection and its exchange. Releases them once, at
/// end() or on destruction. The connection is closed unless it can serve another request. The unit is released at once or,
/// if the server may still be executing the request, after the service's cancelMs.
class UpstreamAttempt
{
public:
    UpstreamAttempt(Router &router, Upstreams::ConnectionPool &pool, ServerReservation route, std::int64_t cancelMs);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt &) = delete;
    UpstreamAttempt &operator=(const UpstreamAttempt &) = delete;

    /// Returns false when no connection could be made; in that case nothing was sent.
    [[nodiscard]] bool connect(Upstreams::ConnectionUse use);
    /// Creates the exchange. From here on the server may have received the request.
    Upstreams::Exchange &begin(const Base::Clock &clock, const Upstreams::AttemptLimits &limits, Upstreams::AttemptHooks hooks);
    void end();

    [[nodiscard]] const ServerReservation &route() const;
    /// Only after begin().
    [[nodiscard]] Upstreams::Exchange &exchange() const;
    [[nodiscard]] bool isReused() const;

private:
    Router &router_;
    Upstreams::ConnectionPool &pool_;
    const ServerReservation route_;
    const std::int64_t cancelMs_;
    Upstreams::ConnectionPool::Acquired connection_;
    std::unique_ptr<Upstreams::Exchange> exchange_;
    bool ended_ = false;
};

} // namespace Wasabistair::Callers
