#pragma once

#include "callerrequest.h"
#include "requestmetrics.h"

#include <base/logratelimiter.h>
#include <base/rcu.h>
#include <steering/admission.h>
#include <steering/keydecision.h>
#include <steering/teamlimiter.h>
#include <steering/upstreamselector.h>
#include <upstreams/upstreamcall.h>

#include <atomic>
#include <cstdint>
#include <functional>

namespace Wasabistair::Callers {

/// Limits on requests that follow from the settings. They may change while the process runs.
struct RequestLimits {
    Steering::SelectorLimits selector;
    Steering::FleetRetryLimit retries;
    Steering::KeyRevocation keyRevocation;

    auto operator<=>(const RequestLimits &) const = default;
};

/// State that all requests of the process share.
struct DispatchContext {
    const Base::Clock &clock;
    const Base::RcuPointer<Steering::RoutingSnapshot> &snapshot;
    Upstreams::IdleConnectionPool &idleConnections;
    Steering::RegionShiftLimiter &regionShiftLimiter;
    /// Read once for each request.
    const Base::RcuPointer<RequestLimits> &limits;
    /// Keeps the limits that the configuration sets for teams.
    Steering::TeamLimiter &teamLimiter;
    RequestMetrics &metrics;
    /// Time by which every request must have ended because the process is stopping; 0 while it isn't stopping.
    const std::atomic<Base::MonotonicMs> &stopDeadline;
    /// Request counter. Distributes requests over the services of a split route, and requests without an affinity key over upstreams.
    std::atomic<std::uint64_t> &sequence;
    /// Memory for buffered requests and answers.
    Base::MemoryBudget &memory;
    Base::LogRateLimiter &failureLog;
    Base::LogRateLimiter &sampleLog;
    const Steering::AdmissionMode admissionMode;
    /// How recent the configuration of the snapshot is. Thread-safe.
    const std::function<Steering::ConfigurationState()> configurationState;
};

/// Result that is returned to the caller.
struct DispatchResult {
    DispatchOutcome end = DispatchOutcome::CallerDisconnected;
    /// Set when end is Answered.
    Upstreams::UpstreamAnswer answer;
    /// HTTP status of the VM's own answer; used unless end is Answered.
    int status = 0;
    /// Time after which the caller should retry, in ms; 0: not stated.
    std::int64_t retryAfterMs = 0;

    bool operator==(const DispatchResult &) const = default;
};

} // namespace Wasabistair::Callers
