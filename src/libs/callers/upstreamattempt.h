#pragma once

#include "router.h"

#include <base/clock.h>
#include <upstreams/connectionpool.h>
#include <upstreams/exchange.h>

#include <cstdint>
#include <memory>

namespace Wasabistair::Callers {

/// One try of a request: the unit that it occupies, its connection and its exchange. Gives all back once,
/// at end() or when destroyed: the connection closed unless it is good for another request, the unit at once or,
/// if the server may still be at work, after the service's cancelMs.
class UpstreamAttempt
{
public:
    UpstreamAttempt(Router &router, Upstreams::ConnectionPool &pool, Route route, std::int64_t cancelMs);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt &) = delete;
    UpstreamAttempt &operator=(const UpstreamAttempt &) = delete;

    /// False when no connection could be made; nothing was sent then.
    [[nodiscard]] bool connect(Upstreams::ConnectionUse use);
    /// Readies the exchange; from here on the server counts as reached.
    Upstreams::Exchange &begin(const Base::Clock &clock, const Upstreams::TryLimits &limits, Upstreams::TryHooks hooks);
    void end();

    [[nodiscard]] const Route &route() const;
    /// Only after begin().
    [[nodiscard]] Upstreams::Exchange &exchange() const;
    [[nodiscard]] bool isReused() const;

private:
    Router &router_;
    Upstreams::ConnectionPool &pool_;
    const Route route_;
    const std::int64_t cancelMs_;
    Upstreams::ConnectionPool::Acquired connection_;
    std::unique_ptr<Upstreams::Exchange> exchange_;
    bool ended_ = false;
};

} // namespace Wasabistair::Callers
