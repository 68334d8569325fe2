#pragma once

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
};

constexpr std::size_t requestEndCount = 11;
[[nodiscard]] std::string_view toString(DispatchOutcome end);

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
    void countHeldBack(int count);
    void countLimitChange();

private:
    std::map<DispatchOutcome, prometheus::Counter *> requests_;
    std::map<Steering::AttemptOutcome, prometheus::Counter *> attempts_;
    prometheus::Counter &retries_;
    prometheus::Counter &retriesDenied_;
    prometheus::Histogram &latency_;
    prometheus::Gauge &connections_;
    prometheus::Gauge &inFlight_;
    prometheus::Counter &connectionsRefused_;
    prometheus::Counter &readAhead_;
    prometheus::Counter &heldBack_;
    prometheus::Counter &limitChanges_;
};

} // namespace Wasabistair::Callers
