#include "upstreamattempt.h"

#include <utility>

namespace Wasabistair::Callers {

UpstreamAttempt::UpstreamAttempt(Router &router, Upstreams::ConnectionPool &pool, ServerReservation route, std::int64_t cancelMs)
    : router_(router)
    , pool_(pool)
    , route_(std::move(route))
    , cancelMs_(cancelMs)
{}

UpstreamAttempt::~UpstreamAttempt()
{
    end();
}

bool UpstreamAttempt::connect(Upstreams::ConnectionUse use)
{
    connection_ = pool_.acquire(route_.server.id, {route_.server.host, route_.server.port}, use, route_.connections);
    return connection_.session != nullptr;
}

Upstreams::Exchange &UpstreamAttempt::begin(const Base::Clock &clock, const Upstreams::AttemptLimits &limits, Upstreams::AttemptHooks hooks)
{
    exchange_ = std::make_unique<Upstreams::Exchange>(*connection_.session, clock, limits, std::move(hooks));
    return *exchange_;
}

void UpstreamAttempt::end()
{
    if (std::exchange(ended_, true)) {
        return;
    }
    const bool nothingSent = !exchange_;
    const bool reusable = nothingSent || exchange_->isReusable();
    const bool complete = nothingSent || exchange_->isComplete();
    pool_.release(route_.server.id, std::move(connection_.session), reusable);
    if (complete) {
        router_.release(route_);
    } else {
        // Closing the connection cancels the request, but the server takes some time to detect it.
        router_.releaseAfter(route_, cancelMs_);
    }
}

const ServerReservation &UpstreamAttempt::route() const
{
    return route_;
}

Upstreams::Exchange &UpstreamAttempt::exchange() const
{
    return *exchange_;
}

bool UpstreamAttempt::isReused() const
{
    return connection_.reused;
}

} // namespace Wasabistair::Callers
