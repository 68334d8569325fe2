#include "forwarding.h"

/// Second attempts beside a pending one.
namespace Wasabistair::Callers {

namespace {

using Upstreams::AttemptResult;
using Upstreams::Exchange;

// Interval at which the deadlines and the caller's connection are checked while two attempts race.
constexpr std::int64_t racePollMs = 20;

} // namespace

bool Forwarding::mayHedge(const BufferedBody &body) const
{
    return service_.hedgeAfterMs > 0 && idempotent_ && body.isComplete() && attempts_ < service_.maxAttempts;
}

/// Sends a second attempt beside @p first and returns it while it is pending. Null when no unit is free at once, the retry
/// budget is exhausted, no connection could be made or the attempt failed early.
std::unique_ptr<UpstreamAttempt> Forwarding::startHedge(const UpstreamAttempt &first, BufferedBody &body)
{
    excluded_.push_back(first.route().server.id);
    auto acquired = context_.router.acquire(service_.name, excluded_, 0);
    auto *route = std::get_if<ServerReservation>(&acquired);
    if (!route) {
        return nullptr;
    }
    auto second = std::make_unique<UpstreamAttempt>(context_.router, context_.pool, std::move(*route), service_.cancelMs);
    if (!second->connect(connectionUse())) {
        second->route().load->observeFailure(context_.clock.monotonic(), connectFailurePauseMs);
        return nullptr;
    }
    const bool late = context_.clock.monotonic() >= deadline_ || !context_.router.mayStillSend(second->route());
    if (late || !retryBudget_.trySpend()) {
        return nullptr;
    }
    ++attempts_;
    context_.retryCounters.hedges.fetch_add(1, std::memory_order_relaxed);
    body.rewind();
    const AttemptResult result = send(*second, body);
    if (result == AttemptResult::Pending) {
        return second;
    }
    recordResult(result, *second);
    return nullptr;
}

/// Waits for two pending attempts. Returns the first one that gets an answer or that rules out another attempt; if both
/// fail, the one that failed last. Records the result of each attempt that ended.
Forwarding::RaceOutcome Forwarding::race(UpstreamAttempt &first, UpstreamAttempt &second)
{
    std::vector<UpstreamAttempt *> pending = {&first, &second};
    while (true) {
        for (UpstreamAttempt *attempt : std::vector<UpstreamAttempt *>(pending)) {
            AttemptResult result = attempt->exchange().await(0);
            if (result == AttemptResult::Pending) {
                continue;
            }
            if (result == AttemptResult::Answered) {
                result = attempt->exchange().readAnswer();
            }
            recordResult(result, *attempt);
            std::erase(pending, attempt);
            const bool mayFailover = result == AttemptResult::Rejected || result == AttemptResult::NoAnswer;
            if (!mayFailover || pending.empty()) {
                return {result, attempt};
            }
            if (result == AttemptResult::NoAnswer) {
                // This attempt may have been executed, whatever the result of the other one.
                lastFailure_ = Problem{ProblemKind::UpstreamNoAnswer, ExecutionState::Unknown};
            }
        }
        std::vector<Exchange *> exchanges;
        for (const UpstreamAttempt *attempt : pending) {
            exchanges.push_back(&attempt->exchange());
        }
        Exchange::awaitAny(exchanges, racePollMs);
    }
}

/// Answers the caller from the attempt that race() returns; the other attempt is cancelled.
bool Forwarding::finishRace(UpstreamAttempt &first, UpstreamAttempt &second, BufferedBody &body)
{
    const RaceOutcome outcome = race(first, second);
    (outcome.attempt == &first ? second : first).end();
    place_ = outcome.attempt->route().place;
    return handleResult(outcome.result, *outcome.attempt, body);
}

} // namespace Wasabistair::Callers
