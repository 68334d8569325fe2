#pragma once

#include "admissionmetrics.h"

#include <steering/upstreamhealth.h>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string_view>

namespace Wasabistair::Callers {

/// How a request of a caller ended.
enum class DispatchOutcome {
    /// The caller got an upstream's own answer, possibly an error status.
    Answered,
    /// Rejected before execution: the VM has no manifest yet.
    NotReady,
    /// No route matches the request.
    NoRoute,
    /// Rejected before execution: the VM is stopping.
    Stopping,
    /// Rejected before execution: no upstream accepts requests.
    NoUpstream,
    /// Rejected before execution: all upstreams are full.
    Overloaded,
    /// Rejected before execution: upstreams rejected it, and no further attempt is allowed.
    UpstreamsRejected,
    /// The deadline passed; no upstream can have executed the request.
    DeadlineBeforeSend,
    /// The deadline passed after an upstream received the request, which may have been executed.
    DeadlineAfterSend,
    /// Sent, but the answer was lost or corrupted.
    OutcomeUnknown,
    /// The caller closed its connection.
    CallerDisconnected,
    /// Rejected before execution: no team holds the caller's key.
    UnknownKey,
    /// Rejected before execution: the team's limit is used up.
    OverTeamLimit,
    /// Rejected before execution: this VM's configuration may be too old to tell whether a team holds the caller's key.
    KeyUndecided,
};

constexpr std::size_t requestEndCount = 14;
[[nodiscard]] std::string_view toString(DispatchOutcome end);

/// What an upstream may state about itself in an answer.
enum class UpstreamStatement {
    /// A limit was set, changed or ended.
    LimitChanged,
    /// A rejection asked for a pause.
    PauseRequested,
    /// The upstream leaves.
    Leaving,
};

constexpr std::size_t upstreamStatementCount = 3;
[[nodiscard]] std::string_view toString(UpstreamStatement statement);

/// Counters of the request path. Thread-safe.
class RequestMetrics
{
public:
    explicit RequestMetrics(prometheus::Registry &registry);

    void countRequest(DispatchOutcome end, double seconds);
    void countAttempt(Steering::AttemptOutcome outcome);
    void countRetry(bool allowed);
    prometheus::Gauge &connections();
    prometheus::Gauge &requestsInFlight();
    void countConnectionRefused();
    void countReadAhead();
    /// @p byLimit: how often stated limits kept a request from an upstream; @p byPause: whether pauses did.
    void countHeldBack(int byLimit, bool byPause);
    /// Counts a request that is sent to an upstream within the limit that it states.
    void countWithinLimit();
    void countStatement(UpstreamStatement statement);
    AdmissionMetrics &admission();

private:
    AdmissionMetrics admission_;
    std::map<DispatchOutcome, prometheus::Counter *> requests_;
    std::map<Steering::AttemptOutcome, prometheus::Counter *> attempts_;
    prometheus::Counter &retries_;
    prometheus::Counter &retriesDenied_;
    prometheus::Histogram &latency_;
    prometheus::Gauge &connections_;
    prometheus::Gauge &inFlight_;
    prometheus::Counter &connectionsRefused_;
    prometheus::Counter &readAhead_;
    prometheus::Counter &heldBackByLimit_;
    prometheus::Counter &heldBackByPause_;
    prometheus::Counter &withinLimit_;
    std::map<UpstreamStatement, prometheus::Counter *> statements_;
};

} // namespace Wasabistair::Callers
