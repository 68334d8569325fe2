#include "admissionmetrics.h"

namespace Wasabistair::Callers {

namespace {

const prometheus::Histogram::BucketBoundaries waitBounds = {0.005, 0.015, 0.03, 0.06, 0.1, 0.2, 0.4, 0.8, 1.6, 3};

} // namespace

AdmissionMetrics::AdmissionMetrics(prometheus::Registry &registry)
    : waiting_(prometheus::BuildGauge().Name("wasabistair_admission_waiting").Help("Requests that wait for room at upstreams.").Register(registry).Add({}))
    , waitTime_(prometheus::BuildHistogram()
                    .Name("wasabistair_admission_wait_seconds")
                    .Help("Time that requests waited for room at upstreams.")
                    .Register(registry)
                    .Add({}, waitBounds))
{
    auto &waits = prometheus::BuildCounter().Name("wasabistair_admission_waits_total").Help("Waits for room by how they ended.").Register(registry);
    auto &refusals
        = prometheus::BuildCounter().Name("wasabistair_admission_refusals_total").Help("Requests refused for want of room, by reason.").Register(registry);
    for (std::size_t i = 0; i < Steering::admissionReasonCount; ++i) {
        const std::string reason(Steering::toString(static_cast<Steering::AdmissionReason>(i)));
        waits_[i] = &waits.Add({{"end", reason}});
        refusals_[i] = &refusals.Add({{"reason", reason}});
    }
}

prometheus::Gauge &AdmissionMetrics::waiting()
{
    return waiting_;
}

void AdmissionMetrics::countWait(Steering::AdmissionReason end, double seconds)
{
    waits_.at(static_cast<std::size_t>(end))->Increment();
    waitTime_.Observe(seconds);
}

void AdmissionMetrics::countRefused(Steering::AdmissionReason reason)
{
    refusals_.at(static_cast<std::size_t>(reason))->Increment();
}

} // namespace Wasabistair::Callers
