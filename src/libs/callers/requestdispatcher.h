#pragma once

#include "requestadmission.h"
#include "requestlog.h"

#include <steering/rejection.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Wasabistair::Callers {

/// Sends one request to upstreams, with retries, until one answers or no further attempt is allowed.
class RequestDispatcher
{
public:
    RequestDispatcher(DispatchContext &context, const CallerRequest &request, const Http::ByteStream &caller);

    [[nodiscard]] DispatchResult run();

private:
    /// Identifies the caller's team and applies its limit before the request is dispatched.
    [[nodiscard]] DispatchResult dispatchForTeam(const Steering::RouteRule &route);
    [[nodiscard]] DispatchResult dispatchTo(const Steering::RouteRule &route);
    /// Adopts the current routing snapshot; returns false if the service isn't in it any more.
    [[nodiscard]] bool refreshService();
    /// Whether the current routing snapshot still allows requests to @p upstream, and it hasn't asked for a pause.
    [[nodiscard]] bool mayStillUse(const Steering::UpstreamSnapshot &upstream) const;
    [[nodiscard]] std::optional<DispatchResult> attemptOnce(const Steering::RouteRule &route);
    [[nodiscard]] Steering::AttemptOutcome send(const Steering::UpstreamSnapshot &upstream, const Steering::RouteRule &route, Upstreams::CallResult &result);
    [[nodiscard]] Adapter::TeamStatement teamStatement() const;
    void recordAttempt(const Steering::UpstreamSnapshot &upstream, Steering::AttemptOutcome outcome, std::int64_t tookMs);
    void logHealthChange(
        const Steering::UpstreamSnapshot &upstream, const Steering::UpstreamRecord::HealthStateChange &change, Steering::AttemptOutcome outcome) const;
    [[nodiscard]] std::optional<DispatchResult> afterAttempt(const Steering::RouteRule &route, Steering::AttemptOutcome outcome, Upstreams::CallResult &result);
    [[nodiscard]] bool mayRetry(const Steering::RouteRule &route, bool delivered);
    [[nodiscard]] DispatchResult failWith(DispatchOutcome end);
    [[nodiscard]] DispatchResult failAtDeadline();
    /// Time after which the caller should retry, in ms.
    [[nodiscard]] std::int64_t returnAfterMs(Steering::RejectionReason reason);
    /// Waits a short time; false when the request may not wait longer or no capacity becomes free meanwhile.
    [[nodiscard]] bool waitForFreeCapacity(const Steering::RouteRule &route, std::int64_t admissionInMs);

    DispatchContext &context_;
    const CallerRequest &request_;
    const Http::ByteStream &caller_;
    const RequestLimits limits_;
    /// Read again for each selection, since a request can wait for longer than an upstream may be used after it has begun to drain.
    std::shared_ptr<const Steering::RoutingSnapshot> snapshot_;
    std::shared_ptr<const Steering::ServiceSnapshot> service_;
    /// The configuration that applies to the request until its end.
    const std::shared_ptr<const Steering::Manifest> manifest_;
    std::uint64_t keyHash_ = 0;
    /// Whether the caller named an affinity key, and why the upstream chosen last is expected to know it.
    bool hasKey_ = false;
    Steering::KeyKnowledge knowledge_ = Steering::KeyKnowledge::Unknown;
    /// Team that the caller's key belongs to; null on routes without teams.
    const Steering::TeamRule *team_ = nullptr;
    std::vector<std::uint64_t> triedUpstreams_;
    /// Whether an upstream may have executed the request.
    bool mayHaveRun_ = false;
    /// Time until an upstream that states a limit or asked for a pause admits the next request; 0 if that isn't what the request waits for.
    std::int64_t admissionInMs_ = 0;
    DispatchProgress progress_;
    /// Set where requests are admitted in the order of what their delay costs.
    std::optional<RequestAdmission> admission_;
};

/// Dispatches @p request; never throws. After an unexpected error, such as exhausted memory, the result is OutcomeUnknown.
[[nodiscard]] DispatchResult dispatch(DispatchContext &context, const CallerRequest &request, const Http::ByteStream &caller);

} // namespace Wasabistair::Callers
