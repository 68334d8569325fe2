#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

namespace Wasabistair::Steering {

/// How one attempt ended.
enum class AttemptOutcome {
    /// A complete answer that reports no failure of the upstream.
    Answered,
    /// A complete answer that reports a failure of the upstream (5xx).
    Failed,
    /// Rejected before execution although the upstream reported free slots.
    RejectedWithFreeSlots,
    /// Rejected before execution because the upstream is overloaded.
    RejectedOverloaded,
    /// The address refused the connection; nothing was sent.
    NoConnection,
    /// The connection was not established in time; nothing was sent.
    ConnectTimeout,
    /// A reused connection broke; the upstream may have closed it while it was idle.
    StaleConnection,
    /// The connection broke, or the answer was truncated, corrupted or belonged to another request.
    Broken,
    /// No answer before the request's deadline.
    Timeout,
    /// Another upstream answered at the address.
    WrongInstance,
    /// The request ran, but this VM had no memory for the answer. Doesn't affect the upstream's health.
    Discarded,
    /// Nothing was sent, because the upstream asked for a pause after it had been selected. Doesn't affect its health.
    Withdrawn,
    /// The caller disconnected, or nothing was sent. Doesn't affect the upstream's health.
    Abandoned,
};

[[nodiscard]] std::string_view toString(AttemptOutcome outcome);

/// Health state of an upstream, as this VM rates it from its own attempts (outlier detection).
enum class HealthState {
    /// Gets its full share of requests.
    Healthy,
    /// Gets few requests, which show whether it has recovered.
    Probation,
    /// Gets no requests until the end of its ejection.
    Ejected,
};

[[nodiscard]] std::string_view toString(HealthState healthState);

/// Health of one upstream, from this VM's own attempts.
struct UpstreamHealth {
    /// Consecutive attempts without a usable answer, timeouts left out: connection failures, corrupted answers, answers of another
    /// upstream.
    int consecutiveConnectionFailures = 0;
    /// Share of attempts that failed, exponentially weighted.
    double failureRate = 0;
    /// Number of attempts behind the failure rate, up to a limit.
    int samples = 0;
    /// Share of attempts that timed out, exponentially weighted.
    double timeoutRate = 0;
    std::int64_t ejectedUntilMs = 0;
    /// Length of the last ejection; 0 after a successful answer.
    std::int64_t backoffMs = 0;
    /// End of the probation that follows an ejection. Set together with the end of the ejection.
    std::int64_t probationUntilMs = 0;

    auto operator<=>(const UpstreamHealth &) const = default;
};

/// Health after an attempt that ended at @p nowMs.
[[nodiscard]] UpstreamHealth afterAttempt(UpstreamHealth health, AttemptOutcome outcome, std::int64_t nowMs);

/// Health state at @p nowMs. @p serviceTimeoutRate is the timeout rate over all upstreams of the service. When the service is
/// overloaded, requests time out at all upstreams; an upstream that times out while the others answer is slow or hangs, and is put on
/// probation.
[[nodiscard]] HealthState healthStateAt(const UpstreamHealth &health, double serviceTimeoutRate, std::int64_t nowMs);

/// Timeout rate @p rate after one more attempt, which counts with @p weight (exponentially weighted mean).
[[nodiscard]] double nextTimeoutRate(double rate, bool timedOut, double weight);

} // namespace Wasabistair::Steering
