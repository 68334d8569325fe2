#include "requestdispatcher.h"

#include "attemptoutcome.h"
#include "requestcheck.h"
#include "upstreamstatements.h"

#include <base/log.h>
#include <steering/hash.h>

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <new>
#include <thread>

namespace Wasabistair::Callers {

namespace {

using Poco::Net::HTTPResponse;
using Steering::AttemptOutcome;
using Upstreams::CallOutcome;

// Upstreams selected for one request at most; bounds the loop when none can be reached.
constexpr int maxSelections = 8;
constexpr double msPerSecond = 1000;
// A timeout counts against the upstream only if the attempt lasted this many times the route's latency objective.
constexpr std::int64_t objectivesUntilTimeoutCounts = 2;
// Averages a service's timeout rate over about fifty attempts, which is about one second of a VM's requests.
constexpr double serviceTimeoutRateWeight = 0.02;
// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly over [0, 1), however many there are.
constexpr double goldenRatioFraction = 0.6180339887498949;

double evenlySpreadPoint(std::uint64_t number)
{
    const double value = static_cast<double>(number & 0xffffffffULL) * goldenRatioFraction;
    return value - std::floor(value);
}

std::shared_ptr<const Steering::RoutingSnapshot> currentSnapshot(const DispatchContext &context)
{
    return context.snapshot.read([](const Steering::RoutingSnapshot &snapshot) { return snapshot.shared_from_this(); });
}

} // namespace

DispatchResult dispatch(DispatchContext &context, const CallerRequest &request, const Http::ByteStream &caller)
{
    try {
        RequestDispatcher dispatcher(context, request, caller);
        return dispatcher.run();
    } catch (const std::exception &error) {
        Base::log(Base::LogLevel::Error, "request-failed", {{"request", request.metadata.requestId}, {"cause", error.what()}});
        DispatchResult result;
        result.end = DispatchOutcome::OutcomeUnknown;
        result.status = HTTPResponse::HTTP_BAD_GATEWAY;
        return result;
    }
}

RequestDispatcher::RequestDispatcher(DispatchContext &context, const CallerRequest &request, const Http::ByteStream &caller)
    : context_(context)
    , request_(request)
    , caller_(caller)
    , limits_(context.limits.read([](const RequestLimits &limits) { return limits; }))
    , snapshot_(currentSnapshot(context))
    , manifest_(snapshot_->manifest)
{
    progress_.sequenceNumber = context.sequence.fetch_add(1, std::memory_order_relaxed);
}

DispatchResult RequestDispatcher::run()
{
    DispatchResult result;
    const Base::MonotonicMs stop = context_.stopDeadline.load(std::memory_order_relaxed);
    if (!manifest_) {
        result = failWith(DispatchOutcome::NotReady);
    } else if (const auto *route = Steering::findRoute(*manifest_, requestHost(request_.head), requestPath(request_.head))) {
        progress_.deadline = request_.arrivedAt + maxDurationMs(request_, route);
        progress_.deadline = stop > 0 ? std::min(progress_.deadline, stop) : progress_.deadline;
        result = dispatchForTeam(*route);
    } else {
        result = failWith(DispatchOutcome::NoRoute);
    }
    logRequest(context_, request_, manifest_.get(), progress_, result);
    context_.metrics.countHeldBack(progress_.heldBack, progress_.pausing > 0);
    context_.metrics.countRequest(result.end, static_cast<double>(context_.clock.monotonic() - request_.arrivedAt) / msPerSecond);
    return result;
}

DispatchResult RequestDispatcher::dispatchForTeam(const Steering::RouteRule &route)
{
    const Steering::TeamDirectory &teams = manifest_->teams;
    if (!teams.requiresKeys() || route.anonymous) {
        return dispatchTo(route);
    }
    progress_.route = route.name;
    team_ = teams.findByKey(request_.metadata.teamKey);
    progress_.team = team_ == nullptr ? std::string() : team_->name;
    switch (Steering::decideKey(team_ != nullptr, context_.configurationState(), limits_.keyRevocation)) {
    case Steering::KeyDecision::Accepted:
        break;
    case Steering::KeyDecision::Rejected:
        return failWith(DispatchOutcome::UnknownKey);
    case Steering::KeyDecision::Undecided:
        return failWith(DispatchOutcome::KeyUndecided);
    }
    const Steering::TeamAdmission admission = context_.teamLimiter.admit(*team_, progress_.deadline);
    if (!admission.admitted) {
        DispatchResult result = failWith(DispatchOutcome::OverTeamLimit);
        result.retryAfterMs = admission.retryAfterMs;
        return result;
    }
    DispatchResult result = dispatchTo(route);
    if (result.end != DispatchOutcome::Answered && !mayHaveRun_) {
        context_.teamLimiter.refund(*team_, admission);
    }
    return result;
}

DispatchResult RequestDispatcher::dispatchTo(const Steering::RouteRule &route)
{
    progress_.route = route.name;
    progress_.service = Steering::selectService(route, evenlySpreadPoint(progress_.sequenceNumber));
    hasKey_ = route.sticky && !request_.metadata.affinityKey.empty();
    keyHash_ = Steering::hashOf(hasKey_ ? request_.metadata.affinityKey : std::to_string(progress_.sequenceNumber) + request_.metadata.requestId);
    if (!refreshService()) {
        return failWith(DispatchOutcome::NoUpstream);
    }
    service_->record->requests.fetch_add(1, std::memory_order_relaxed);
    if (isAdmissionOrdered(context_, *manifest_, *service_)) {
        admission_.emplace(context_, *service_, Steering::RequestRules{&route, team_}, hasKey_, request_.arrivedAt, progress_);
    }
    service_->record->retries.countRequest(context_.clock.monotonic(), limits_.retries);
    while (true) {
        if (auto result = attemptOnce(route)) {
            return std::move(*result);
        }
        if (!refreshService()) {
            return failWith(mayHaveRun_ ? DispatchOutcome::OutcomeUnknown : DispatchOutcome::NoUpstream);
        }
    }
}

bool RequestDispatcher::refreshService()
{
    snapshot_ = currentSnapshot(context_);
    const auto service = snapshot_->services.find(progress_.service);
    if (service == snapshot_->services.end()) {
        return false;
    }
    service_ = service->second;
    return true;
}

bool RequestDispatcher::mayStillUse(const Steering::UpstreamSnapshot &upstream) const
{
    const Base::MonotonicMs now = context_.clock.monotonic();
    return !upstream.record->requestedPause().isInForceAt(now) && context_.snapshot.read([&](const Steering::RoutingSnapshot &current) {
        const auto service = current.services.find(progress_.service);
        if (service == current.services.end()) {
            return false;
        }
        return service->second == service_ ? Steering::isOpen(upstream, now) : Steering::isOpen(*service->second, *upstream.record, now);
    });
}

std::optional<DispatchResult> RequestDispatcher::attemptOnce(const Steering::RouteRule &route)
{
    const Base::MonotonicMs now = context_.clock.monotonic();
    if (now >= progress_.deadline) {
        return failAtDeadline();
    }
    // On a busy processor a request is read long after it was sent, and its caller may have left.
    if (caller_.isClosedByPeer()) {
        return failWith(DispatchOutcome::CallerDisconnected);
    }
    const Steering::Selection selection = Steering::selectUpstream(*snapshot_, *service_,
        {{&route, team_}, keyHash_, triedUpstreams_, now, admission_ ? admission_->maxLoadPerSlot(now) : Steering::noLoadLimit, hasKey_}, limits_.selector,
        context_.regionShiftLimiter);
    progress_.loadPerSlot = selection.loadPerSlot;
    progress_.heldBack += selection.heldBack;
    progress_.pausing = selection.pausing;
    admissionInMs_ = selection.admissionInMs;
    knowledge_ = selection.knowledge;
    if (selection.end != Steering::SelectionOutcome::Selected) {
        if (selection.end == Steering::SelectionOutcome::AllOverloaded && waitForFreeCapacity(route, selection.admissionInMs)) {
            return std::nullopt;
        }
        if (caller_.isClosedByPeer()) {
            return failWith(DispatchOutcome::CallerDisconnected);
        }
        const bool full = selection.end == Steering::SelectionOutcome::AllOverloaded;
        return failWith(mayHaveRun_ ? DispatchOutcome::OutcomeUnknown : full ? DispatchOutcome::Overloaded : DispatchOutcome::NoUpstream);
    }
    ++progress_.selections;
    if (admission_) {
        admission_->onRoomFound(selection.loadPerSlot, now);
    }
    Upstreams::CallResult result;
    const AttemptOutcome outcome = send(*selection.upstream, route, result);
    return afterAttempt(route, outcome, result);
}

AttemptOutcome RequestDispatcher::send(const Steering::UpstreamSnapshot &upstream, const Steering::RouteRule &route, Upstreams::CallResult &result)
{
    Steering::ServiceRecord &service = *service_->record;
    const Base::MonotonicMs begin = context_.clock.monotonic();
    upstream.record->beginAttempt();
    if (upstream.record->announcedLimit().requestsPerSecond()) {
        context_.metrics.countWithinLimit();
    }
    Upstreams::UpstreamCall call(context_.idleConnections, context_.memory, context_.clock);
    const auto maySend = [&] { return mayStillUse(upstream); };
    try {
        const Upstreams::ForwardedRequest forwarded{request_.head, request_.body, request_.metadata.requestId, route.idempotent, maySend, teamStatement()};
        result = call.run(upstream.entry, forwarded, caller_, progress_.deadline);
    } catch (const std::bad_alloc &) {
        // The attempt must be ended in the upstream's record like any other.
        result.end = CallOutcome::NoMemory;
    }
    const Base::MonotonicMs now = context_.clock.monotonic();
    const AttemptOutcome outcome = outcomeOf(result);
    if (const auto &load = result.answer.metadata.load) {
        service.load.record(*load, now);
        service.placement.recordLoad(upstream.distance, *load, now);
        if (outcome == AttemptOutcome::Answered) {
            service.placement.recordAnswer(
                {keyHash_, upstream.idHash, upstream.distance, knowledge_, hasKey_, static_cast<double>(now - begin), progress_.loadPerSlot, now}, *load);
        }
    }
    recordStatements({*snapshot_, upstream, request_.metadata.requestId, begin, now}, result, context_.metrics);
    // A timeout says nothing about the upstream if the caller's deadline is shorter than requests usually take, and neither does a
    // rejection that asks for a pause.
    const bool asksForPause = result.answer.metadata.requestedPauseMs.has_value();
    const bool conclusive = !asksForPause && (outcome != AttemptOutcome::Timeout || now - begin >= objectivesUntilTimeoutCounts * route.objectiveMs);
    if (conclusive && (outcome == AttemptOutcome::Answered || outcome == AttemptOutcome::Timeout)) {
        const double share = service.timeoutRate.load(std::memory_order_relaxed);
        service.timeoutRate.store(Steering::nextTimeoutRate(share, outcome == AttemptOutcome::Timeout, serviceTimeoutRateWeight), std::memory_order_relaxed);
    }
    const double timeoutRate = service.timeoutRate.load(std::memory_order_relaxed);
    logHealthChange(
        upstream, upstream.record->endAttempt(conclusive ? outcome : AttemptOutcome::Abandoned, result.answer.metadata.load, timeoutRate, now), outcome);
    if (admission_) {
        admission_->onAttemptEnded(outcome, now - begin, now);
    }
    if (outcome != AttemptOutcome::Answered && outcome != AttemptOutcome::Abandoned) {
        context_.idleConnections.closeIdle(upstream.entry.id);
    }
    recordAttempt(upstream, outcome, now - begin);
    return outcome;
}

Adapter::TeamStatement RequestDispatcher::teamStatement() const
{
    return {manifest_->teams.requiresKeys(), team_ == nullptr ? std::string() : team_->name};
}

void RequestDispatcher::recordAttempt(const Steering::UpstreamSnapshot &upstream, AttemptOutcome outcome, std::int64_t tookMs)
{
    context_.metrics.countAttempt(outcome);
    triedUpstreams_.push_back(upstream.idHash);
    progress_.lastUpstream = upstream.entry.id;
    progress_.lastOutcome = Steering::toString(outcome);
    if (!progress_.attempts.empty()) {
        progress_.attempts += ',';
    }
    progress_.attempts += upstream.entry.id;
    progress_.attempts += ':';
    progress_.attempts += progress_.lastOutcome;
    progress_.attempts += ':';
    progress_.attempts += std::to_string(tookMs);
}

void RequestDispatcher::logHealthChange(
    const Steering::UpstreamSnapshot &upstream, const Steering::UpstreamRecord::HealthStateChange &change, AttemptOutcome outcome) const
{
    if (change.before == change.after) {
        return;
    }
    const Steering::UpstreamHealth health = upstream.record->health();
    Base::log(Base::LogLevel::Info, "upstream-standing",
        {{"upstream", upstream.entry.id}, {"service", upstream.entry.service}, {"zone", upstream.entry.zone},
            {"before", std::string(Steering::toString(change.before))}, {"after", std::string(Steering::toString(change.after))},
            {"outcome", std::string(Steering::toString(outcome))}, {"request", request_.metadata.requestId}, {"faults", health.consecutiveConnectionFailures},
            {"failurePercent", static_cast<int>(100 * health.failureRate)}, {"timeoutPercent", static_cast<int>(100 * health.timeoutRate)},
            {"backoffMs", health.backoffMs}});
}

std::optional<DispatchResult> RequestDispatcher::afterAttempt(const Steering::RouteRule &route, AttemptOutcome outcome, Upstreams::CallResult &result)
{
    if (outcome == AttemptOutcome::Abandoned) {
        return failWith(DispatchOutcome::CallerDisconnected);
    }
    if (outcome == AttemptOutcome::Answered) {
        DispatchResult answered{DispatchOutcome::Answered, std::move(result.answer), 0, 0};
        return answered;
    }
    const bool delivered = isDelivered(outcome);
    progress_.deliveredAttempts += delivered ? 1 : 0;
    mayHaveRun_ = mayHaveRun_ || !isNotRun(outcome);
    if (outcome == AttemptOutcome::Timeout) {
        return failAtDeadline();
    }
    // There would be no memory for the answer to a retry either.
    const bool retryable = (route.idempotent || !mayHaveRun_) && outcome != AttemptOutcome::Discarded;
    if (retryable && mayRetry(route, delivered)) {
        return std::nullopt;
    }
    if (outcome == AttemptOutcome::Failed && !impliesNotRun(result.answer.status) && result.answer.metadata.isSigned) {
        DispatchResult failed{DispatchOutcome::Answered, std::move(result.answer), 0, 0};
        return failed;
    }
    return failWith(mayHaveRun_ ? DispatchOutcome::OutcomeUnknown : delivered ? DispatchOutcome::UpstreamsRejected : DispatchOutcome::NoUpstream);
}

bool RequestDispatcher::mayRetry(const Steering::RouteRule &route, bool delivered)
{
    if (progress_.selections >= maxSelections || progress_.deliveredAttempts >= route.maxAttempts) {
        return false;
    }
    if (!delivered) {
        return true;
    }
    const bool allowed = service_->record->retries.trySpend(context_.clock.monotonic(), limits_.retries, snapshot_->fleetSize);
    context_.metrics.countRetry(allowed);
    return allowed;
}

bool RequestDispatcher::waitForFreeCapacity(const Steering::RouteRule &route, std::int64_t admissionInMs)
{
    if (admission_) {
        return admission_->awaitTurn(caller_, admissionInMs);
    }
    using Steering::capacityPollIntervalMs;
    const std::int64_t limit = Steering::maxCapacityWaitMs(route.objectiveMs);
    if (progress_.waitedMs + std::max(capacityPollIntervalMs, admissionInMs) > limit
        || context_.clock.monotonic() + capacityPollIntervalMs >= progress_.deadline || caller_.isClosedByPeer()) {
        return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(capacityPollIntervalMs));
    progress_.waitedMs += capacityPollIntervalMs;
    return true;
}

std::int64_t RequestDispatcher::returnAfterMs(Steering::RejectionReason reason)
{
    const double point = evenlySpreadPoint(progress_.sequenceNumber);
    if (reason == Steering::RejectionReason::Overloaded && admission_) {
        return admission_->returnAfterMs(point, admissionInMs_);
    }
    return Steering::retryAfterMs(reason, point, reason == Steering::RejectionReason::Overloaded ? admissionInMs_ : 0);
}

DispatchResult RequestDispatcher::failAtDeadline()
{
    return failWith(mayHaveRun_ ? DispatchOutcome::DeadlineAfterSend : DispatchOutcome::DeadlineBeforeSend);
}

DispatchResult RequestDispatcher::failWith(DispatchOutcome end)
{
    DispatchResult result;
    result.end = end;
    switch (end) {
    case DispatchOutcome::NoRoute:
        result.status = HTTPResponse::HTTP_NOT_FOUND;
        break;
    case DispatchOutcome::UnknownKey:
        result.status = HTTPResponse::HTTP_UNAUTHORIZED;
        break;
    case DispatchOutcome::OverTeamLimit:
        result.status = HTTPResponse::HTTP_TOO_MANY_REQUESTS;
        break;
    case DispatchOutcome::OutcomeUnknown:
        result.status = HTTPResponse::HTTP_BAD_GATEWAY;
        break;
    case DispatchOutcome::DeadlineAfterSend:
        result.status = HTTPResponse::HTTP_GATEWAY_TIMEOUT;
        break;
    case DispatchOutcome::Overloaded:
    case DispatchOutcome::UpstreamsRejected:
    case DispatchOutcome::DeadlineBeforeSend:
        result.status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
        result.retryAfterMs = returnAfterMs(Steering::RejectionReason::Overloaded);
        break;
    default:
        result.status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
        result.retryAfterMs = returnAfterMs(Steering::RejectionReason::NoUpstream);
        break;
    }
    return result;
}

} // namespace Wasabistair::Callers
