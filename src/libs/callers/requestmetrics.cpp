#include "requestmetrics.h"

namespace Wasabistair::Callers {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;

const prometheus::Histogram::BucketBoundaries latencyBounds = {0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 6};

prometheus::Counter &counter(prometheus::Registry &registry, const char *name, const char *help)
{
    return BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge &gauge(prometheus::Registry &registry, const char *name, const char *help)
{
    return BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Counter &heldBack(prometheus::Registry &registry, const char *reason)
{
    return BuildCounter()
        .Name("wasabistair_requests_held_back_total")
        .Help("By reason: times that a stated limit kept a request from an upstream (limit); requests for which pausing upstreams were left out (pause).")
        .Register(registry)
        .Add({{"reason", reason}});
}

} // namespace

std::string_view toString(DispatchOutcome end)
{
    switch (end) {
    case DispatchOutcome::Answered:
        return "answered";
    case DispatchOutcome::NotReady:
        return "not-ready";
    case DispatchOutcome::NoRoute:
        return "no-route";
    case DispatchOutcome::Stopping:
        return "stopping";
    case DispatchOutcome::NoUpstream:
        return "no-upstream";
    case DispatchOutcome::Overloaded:
        return "no-room";
    case DispatchOutcome::UpstreamsRejected:
        return "upstreams-refused";
    case DispatchOutcome::DeadlineBeforeSend:
        return "deadline-unsent";
    case DispatchOutcome::DeadlineAfterSend:
        return "deadline-sent";
    case DispatchOutcome::OutcomeUnknown:
        return "outcome-unknown";
    case DispatchOutcome::CallerDisconnected:
        return "caller-gone";
    case DispatchOutcome::UnknownKey:
        return "unknown-key";
    case DispatchOutcome::KeyUndecided:
        return "key-undecided";
    case DispatchOutcome::OverTeamLimit:
        return "over-limit";
    }
    return "unknown";
}

std::string_view toString(UpstreamStatement statement)
{
    switch (statement) {
    case UpstreamStatement::LimitChanged:
        return "limit-changed";
    case UpstreamStatement::PauseRequested:
        return "pause";
    case UpstreamStatement::Leaving:
        return "leaving";
    }
    return "unknown";
}

RequestMetrics::RequestMetrics(prometheus::Registry &registry)
    : admission_(registry)
    , retries_(counter(registry, "wasabistair_request_repeats_total", "Retries of requests at further upstreams."))
    , retriesDenied_(counter(registry, "wasabistair_request_repeats_denied_total", "Retries denied by the retry budget."))
    , latency_(BuildHistogram()
                   .Name("wasabistair_request_duration_seconds")
                   .Help("Time from a request's first byte to the end of its answer.")
                   .Register(registry)
                   .Add({}, latencyBounds))
    , connections_(gauge(registry, "wasabistair_caller_connections", "Open connections of callers."))
    , inFlight_(gauge(registry, "wasabistair_requests_in_flight", "Requests being served."))
    , connectionsRefused_(counter(registry, "wasabistair_caller_connections_refused_total", "Connections of callers closed because no thread was free."))
    , readAhead_(counter(
          registry, "wasabistair_requests_read_ahead_total", "Pipelined requests started while an earlier request of their connection was being served."))
    , heldBackByLimit_(heldBack(registry, "limit"))
    , heldBackByPause_(heldBack(registry, "pause"))
    , withinLimit_(counter(registry, "wasabistair_requests_within_limit_total", "Requests sent to upstreams within the limits that they state."))
{
    auto &requests = BuildCounter().Name("wasabistair_requests_total").Help("Requests of callers by how they ended.").Register(registry);
    for (std::size_t i = 0; i < requestEndCount; ++i) {
        const auto end = static_cast<DispatchOutcome>(i);
        requests_[end] = &requests.Add({{"end", std::string(toString(end))}});
    }
    auto &statements
        = BuildCounter().Name("wasabistair_upstream_statements_total").Help("Answers in which upstreams stated something about themselves.").Register(registry);
    for (std::size_t i = 0; i < upstreamStatementCount; ++i) {
        const auto statement = static_cast<UpstreamStatement>(i);
        statements_[statement] = &statements.Add({{"statement", std::string(toString(statement))}});
    }
    auto &attempts = BuildCounter().Name("wasabistair_upstream_tries_total").Help("Attempts at upstreams by their outcome.").Register(registry);
    for (int i = 0; i <= static_cast<int>(Steering::AttemptOutcome::Abandoned); ++i) {
        const auto outcome = static_cast<Steering::AttemptOutcome>(i);
        attempts_[outcome] = &attempts.Add({{"outcome", std::string(Steering::toString(outcome))}});
    }
}

void RequestMetrics::countRequest(DispatchOutcome end, double seconds)
{
    requests_.at(end)->Increment();
    latency_.Observe(seconds);
}

void RequestMetrics::countAttempt(Steering::AttemptOutcome outcome)
{
    attempts_.at(outcome)->Increment();
}

void RequestMetrics::countRetry(bool allowed)
{
    (allowed ? retries_ : retriesDenied_).Increment();
}

prometheus::Gauge &RequestMetrics::connections()
{
    return connections_;
}

prometheus::Gauge &RequestMetrics::requestsInFlight()
{
    return inFlight_;
}

void RequestMetrics::countReadAhead()
{
    readAhead_.Increment();
}

void RequestMetrics::countHeldBack(int byLimit, bool byPause)
{
    heldBackByLimit_.Increment(byLimit);
    heldBackByPause_.Increment(byPause ? 1 : 0);
}

void RequestMetrics::countWithinLimit()
{
    withinLimit_.Increment();
}

void RequestMetrics::countStatement(UpstreamStatement statement)
{
    statements_.at(statement)->Increment();
}

AdmissionMetrics &RequestMetrics::admission()
{
    return admission_;
}

void RequestMetrics::countConnectionRefused()
{
    connectionsRefused_.Increment();
}

} // namespace Wasabistair::Callers
