#pragma once

#include <base/clock.h>
#include <steering/stopplan.h>

#include <prometheus/gauge.h>

#include <atomic>
#include <cstdint>

namespace Wasabistair::Callers {

/// Decides which requests the process takes, and counts those that it has taken. Thread-safe.
///
/// The intake ends before the process exits. A request is counted before it is looked at, so that one of two holds for each: it is rejected, or
/// activeRequests() counts it from the end of the intake until it is answered.
class RequestIntake
{
public:
    /// Counts a request from when it has been read until its answer has been sent.
    class ActiveRequest
    {
    public:
        ActiveRequest(RequestIntake &intake, prometheus::Gauge &gauge);
        ~ActiveRequest();
        ActiveRequest(const ActiveRequest &) = delete;
        ActiveRequest &operator=(const ActiveRequest &) = delete;

    private:
        RequestIntake &intake_;
        prometheus::Gauge &gauge_;
    };

    /// Begins a stop; to be called once.
    void beginStop(const Steering::StopPlan &plan);
    /// Ends the intake of a process that stops: requests that are counted from now on must be rejected.
    void end();

    /// Whether the process stops. Each connection then closes after its next answer.
    [[nodiscard]] bool isStopping() const;
    /// Whether a request that may take until @p latestEnd must be rejected. The request must be counted already.
    [[nodiscard]] bool mustReject(Base::MonotonicMs latestEnd, Base::MonotonicMs now) const;
    [[nodiscard]] int activeRequests() const;
    /// Time by which every request must have ended because the process is stopping; 0 while it isn't stopping.
    [[nodiscard]] const std::atomic<Base::MonotonicMs> &stopDeadline() const;

private:
    /// Written before stopping_, and not read before it.
    Steering::StopPlan plan_;
    std::atomic<bool> stopping_{false};
    std::atomic<bool> ended_{false};
    std::atomic<int> active_{0};
    std::atomic<Base::MonotonicMs> stopDeadline_{0};
};

} // namespace Wasabistair::Callers
