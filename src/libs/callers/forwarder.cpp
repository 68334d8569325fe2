#include "forwarder.h"

namespace Wasabistair::Callers {

Forwarder::Forwarder(Router &router, Upstreams::ConnectionPool &pool, const Base::Clock &clock, ForwarderLimits limits)
    : limits_(limits)
    , budget_(limits.bufferBytes)
    , context_{router, pool, clock, limits_, budget_, streams_, retryCounters_}
{}

void Forwarder::forward(CallerExchange &exchange, const ServiceMatch &match)
{
    if (!context_.router.isReady()) {
        exchange.answer(Problem{ProblemKind::NotReady, ExecutionState::NotExecuted});
        return;
    }
    Forwarding(exchange, match, context_).run();
}

std::int64_t Forwarder::bufferedBytes() const
{
    return budget_.used();
}

const RetryCounters &Forwarder::retryCounters() const
{
    return retryCounters_;
}

} // namespace Wasabistair::Callers
