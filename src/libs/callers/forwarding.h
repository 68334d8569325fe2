#pragma once

#include "bufferedbody.h"
#include "callerexchange.h"
#include "problem.h"
#include "router.h"
#include "streamcounter.h"
#include "upstreamattempt.h"

#include <base/clock.h>
#include <upstreams/connectionpool.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Callers {

/// Limits on buffering request bodies.
struct ForwarderLimits {
    /// Memory for all buffered request bodies together.
    std::int64_t bufferBytes = 0;
    /// Total time that a caller may take to send a body.
    std::int64_t bodyTimeoutMs = 0;
};

/// Attempts beyond the first one of a request, since the process started.
struct RetryCounters {
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> hedges{0};
};

/// State that all requests share.
struct ForwardingContext {
    Router &router;
    Upstreams::ConnectionPool &pool;
    const Base::Clock &clock;
    const ForwarderLimits &limits;
    Base::MemoryBudget &budget;
    StreamCounter &streams;
    RetryCounters &retryCounters;
};

/// Forwards one request: makes attempts, evaluates their results and answers the caller.
class Forwarding
{
public:
    Forwarding(CallerExchange &exchange, const ServiceMatch &match, const ForwardingContext &context);
    ~Forwarding();
    Forwarding(const Forwarding &) = delete;
    Forwarding &operator=(const Forwarding &) = delete;

    /// Makes attempts until the caller has been answered or has disconnected.
    void run();

private:
    /// How long a server gets no requests after a failed connection.
    static constexpr Base::MonotonicMs connectFailurePauseMs = 1'000;

    /// Whether a further attempt uses up retry budget.
    enum class RetryCost {
        /// Nothing was sent in the previous attempt, so a further one adds no load.
        Free,
        Budget,
    };
    struct RaceOutcome {
        Upstreams::AttemptResult result;
        UpstreamAttempt *attempt;
    };

    bool readBody(BufferedBody &body);
    bool attemptOnce(BufferedBody &body);
    bool runAttempt(UpstreamAttempt &attempt, BufferedBody &body);
    Upstreams::AttemptResult send(UpstreamAttempt &attempt, BufferedBody &body);
    [[nodiscard]] bool mayHedge(const BufferedBody &body) const;
    std::unique_ptr<UpstreamAttempt> startHedge(const UpstreamAttempt &first, BufferedBody &body);
    bool finishRace(UpstreamAttempt &first, UpstreamAttempt &second, BufferedBody &body);
    RaceOutcome race(UpstreamAttempt &first, UpstreamAttempt &second);

    void recordResult(Upstreams::AttemptResult result, const UpstreamAttempt &attempt);
    bool handleResult(Upstreams::AttemptResult result, UpstreamAttempt &attempt, BufferedBody &body);
    bool retryOrFail(const ServerReservation &route, const Problem &failure, bool retryable, RetryCost cost = RetryCost::Budget);
    bool relayAnswer(UpstreamAttempt &attempt, BufferedBody &body);
    std::ostream &startAnswer(const Upstreams::Exchange &exchange);

    [[nodiscard]] Upstreams::ConnectionUse connectionUse() const;
    Upstreams::AttemptHooks hooks(const ServerReservation &route);
    void pace(Steering::LinkPacer &link, std::size_t bytes) const;
    [[nodiscard]] Upstreams::OutgoingRequest outgoing() const;

    void reject(const Problem &problem);
    void rejectWithoutRoute(Steering::RoutingFailure refusal);
    void rejectBrokenBody(ExecutionState run);
    void record(RequestOutcome outcome);

    CallerExchange &exchange_;
    const Steering::Service &service_;
    Steering::RetryBudget &retryBudget_;
    const ForwardingContext &context_;
    const std::int64_t startUs_;
    const bool idempotent_;
    Base::MonotonicMs deadline_ = 0;
    /// Attempts started so far, including hedges.
    std::int64_t attempts_ = 0;
    bool streaming_ = false;
    bool noAnswerSeen_ = false;
    std::string place_;
    std::vector<std::string> excluded_;
    std::optional<Problem> lastFailure_;
};

} // namespace Wasabistair::Callers
