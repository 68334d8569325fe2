#pragma once

#include <steering/admission.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <array>

namespace Wasabistair::Callers {

/// Counters of the admission when upstreams are full. Thread-safe.
class AdmissionMetrics
{
public:
    explicit AdmissionMetrics(prometheus::Registry &registry);

    prometheus::Gauge &waiting();
    /// Counts a wait that ended after @p seconds.
    void countWait(Steering::AdmissionReason end, double seconds);
    /// Counts a request that was refused.
    void countRefused(Steering::AdmissionReason reason);

private:
    using CountersByReason = std::array<prometheus::Counter *, Steering::admissionReasonCount>;

    prometheus::Gauge &waiting_;
    prometheus::Histogram &waitTime_;
    CountersByReason waits_{};
    CountersByReason refusals_{};
};

} // namespace Wasabistair::Callers
