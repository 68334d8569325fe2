#pragma once

#include "bodybuffer.h"
#include "callerexchange.h"
#include "problem.h"
#include "router.h"
#include "upstreamattempt.h"

#include <base/clock.h>
#include <upstreams/connectionpool.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

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

/// Further tries since the process started.
struct TryCounters {
    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> hedges{0};
};

/// What all requests share.
struct ForwardingContext {
    Router &router;
    Upstreams::ConnectionPool &pool;
    const Base::Clock &clock;
    const ForwarderLimits &limits;
    Base::MemoryBudget &budget;
    StreamCounter &streams;
    TryCounters &tries;
};

/// One request on its way: tries, their outcomes and the answer.
class Forwarding
{
public:
    Forwarding(CallerExchange &exchange, const ServiceMatch &match, const ForwardingContext &context);
    ~Forwarding();
    Forwarding(const Forwarding &) = delete;
    Forwarding &operator=(const Forwarding &) = delete;

    /// Answers the caller.
    void run();

private:
    /// Whether a further try puts load on an upstream that a first try already had.
    enum class RetryCost {
        /// Nothing was sent before: no budget is needed.
        Free,
        Budget,
    };
    struct Outcome {
        Upstreams::TryResult result;
        UpstreamAttempt *attempt;
    };

    bool takeBody(BufferedBody &body);
    bool tryOnce(BufferedBody &body);
    bool makeAttempt(UpstreamAttempt &attempt, BufferedBody &body);
    Upstreams::TryResult send(UpstreamAttempt &attempt, BufferedBody &body);
    [[nodiscard]] bool mayHedge(const BufferedBody &body) const;
    std::unique_ptr<UpstreamAttempt> startHedge(const UpstreamAttempt &first, BufferedBody &body);
    bool concludeRace(UpstreamAttempt &first, UpstreamAttempt &second, BufferedBody &body);
    Outcome race(UpstreamAttempt &first, UpstreamAttempt &second);

    void observe(Upstreams::TryResult result, const UpstreamAttempt &attempt);
    bool conclude(Upstreams::TryResult result, UpstreamAttempt &attempt, BufferedBody &body);
    bool again(const Route &route, const Problem &failure, bool repeatable, RetryCost cost = RetryCost::Budget);
    bool relayAnswer(UpstreamAttempt &attempt, BufferedBody &body);
    std::ostream &startAnswer(const Upstreams::Exchange &exchange);

    [[nodiscard]] Upstreams::ConnectionUse connectionUse() const;
    Upstreams::TryHooks hooks(const Route &route);
    void pace(Steering::LinkBudget &link, std::size_t bytes) const;
    [[nodiscard]] Upstreams::OutgoingRequest outgoing() const;

    void refuse(const Problem &problem);
    void refuseWithoutRoute(Steering::Refusal refusal);
    void refuseBrokenBody(RunState run);
    void record(RequestOutcome outcome);

    CallerExchange &exchange_;
    const Steering::Service &service_;
    Steering::RetryBudget &retryBudget_;
    const ForwardingContext &context_;
    const std::int64_t startUs_;
    const bool idempotent_;
    Base::MonotonicMs deadline_ = 0;
    /// Tries begun so far, hedges included.
    std::int64_t tries_ = 0;
    bool streaming_ = false;
    bool silenceSeen_ = false;
    std::string place_;
    std::vector<std::string> excluded_;
    std::optional<Problem> lastFailure_;
};

} // namespace Wasabistair::Callers
