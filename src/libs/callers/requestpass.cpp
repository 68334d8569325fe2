#include "requestpass.h"

#include "requestcheck.h"

#include <base/log.h>
#include <steering/hash.h>
#include <steering/refusal.h>

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <thread>

namespace Wasabistair::Callers {

namespace {

using Poco::Net::HTTPResponse;
using Steering::TryOutcome;
using Upstreams::CallEnd;

// Upstreams selected for one request at most; bounds the loop when none can be reached.
constexpr int maxSelections = 8;
constexpr double msPerSecond = 1000;
// A timeout counts against the upstream only if the attempt lasted this many times the route's latency objective.
constexpr std::int64_t objectivesUntilTimeoutCounts = 2;
// Averages a service's timeout rate over about fifty attempts, which is about one second of a VM's requests.
constexpr double serviceTimeoutRateWeight = 0.02;
// One of this many successful requests is logged.
constexpr std::uint64_t successSampleInterval = 64;
// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly over [0, 1), however many there are.
constexpr double goldenRatioFraction = 0.6180339887498949;

double evenlySpreadPoint(std::uint64_t number)
{
    const double value = static_cast<double>(number & 0xffffffffULL) * goldenRatioFraction;
    return value - std::floor(value);
}

/// Whether callers take @p status to mean that the request was not executed.
bool impliesNotRun(int status)
{
    return status == HTTPResponse::HTTP_TOO_MANY_REQUESTS || status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE || status == HTTPResponse::HTTP_REQUEST_TIMEOUT
        || status == HTTPResponse::HTTP_MISDIRECTED_REQUEST;
}

bool hasEncodedBody(const Upstreams::UpstreamAnswer &answer)
{
    return std::any_of(answer.headers.begin(), answer.headers.end(), [](const auto &field) { return field.first == "Content-Encoding"; });
}

TryOutcome outcomeOfAnswer(const Upstreams::UpstreamAnswer &answer)
{
    if (answer.facts.wrongInstance) {
        return TryOutcome::WrongInstance;
    }
    if (answer.facts.notExecuted) {
        const auto &load = answer.facts.load;
        return load && load->running + load->waiting < load->slots ? TryOutcome::RefusedWithRoom : TryOutcome::RefusedFull;
    }
    const bool success = answer.status >= HTTPResponse::HTTP_OK && answer.status < HTTPResponse::HTTP_MULTIPLE_CHOICES;
    if (hasEncodedBody(answer) || (success && !answer.facts.isSigned)) {
        return TryOutcome::Broken;
    }
    return answer.status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR ? TryOutcome::Failed : TryOutcome::Answered;
}

TryOutcome outcomeOf(const Upstreams::CallResult &result)
{
    switch (result.end) {
    case CallEnd::Answered:
        return outcomeOfAnswer(result.answer);
    case CallEnd::ConnectionRefused:
        return TryOutcome::NoConnection;
    case CallEnd::ConnectionTimedOut:
        return TryOutcome::ConnectTimeout;
    case CallEnd::Broken:
        // The upstream may have closed the idle connection at that moment, which says nothing about its health.
        return result.reusedConnection && !result.answerStarted ? TryOutcome::StaleConnection : TryOutcome::Broken;
    case CallEnd::TimedOut:
        return TryOutcome::Silent;
    case CallEnd::NoMemory:
        return TryOutcome::Discarded;
    case CallEnd::CallerGone:
        return TryOutcome::Abandoned;
    }
    return TryOutcome::Broken;
}

bool isDelivered(TryOutcome outcome)
{
    return outcome != TryOutcome::NoConnection && outcome != TryOutcome::ConnectTimeout;
}

bool isNotRun(TryOutcome outcome)
{
    return !isDelivered(outcome) || outcome == TryOutcome::RefusedFull || outcome == TryOutcome::RefusedWithRoom || outcome == TryOutcome::WrongInstance;
}

} // namespace

RequestPass::RequestPass(PassContext &context, const CallerRequest &request, const Http::ByteStream &caller)
    : context_(context)
    , request_(request)
    , caller_(caller)
    , roster_(context.roster.read([](const Steering::Roster &roster) { return roster.shared_from_this(); }))
    , sequenceNumber_(context.sequence.fetch_add(1, std::memory_order_relaxed))
{}

PassResult RequestPass::run()
{
    PassResult result;
    const Base::MonotonicMs stop = context_.stopDeadline.load(std::memory_order_relaxed);
    if (!roster_->manifest) {
        result = failWith(PassEnd::NotReady);
    } else if (const auto *route = Steering::findRoute(*roster_->manifest, requestHost(request_.head), requestPath(request_.head))) {
        const std::int64_t budget = request_.facts.budgetMs.value_or(defaultBudgetMs);
        deadline_ = request_.arrivedAt + (route->timeoutMs > 0 ? std::min(budget, route->timeoutMs) : budget);
        deadline_ = stop > 0 ? std::min(deadline_, stop) : deadline_;
        result = dispatchTo(*route);
    } else {
        result = failWith(PassEnd::NoRoute);
    }
    logRequest(result);
    context_.metrics.countRequest(result.end, static_cast<double>(context_.clock.monotonic() - request_.arrivedAt) / msPerSecond);
    return result;
}

PassResult RequestPass::dispatchTo(const Steering::RouteRule &route)
{
    routeName_ = route.name;
    service_ = Steering::serviceAt(route, evenlySpreadPoint(sequenceNumber_));
    const bool keyed = route.sticky && !request_.facts.affinityKey.empty();
    keyHash_ = Steering::hashOf(keyed ? request_.facts.affinityKey : std::to_string(sequenceNumber_) + request_.facts.requestId);
    const auto service = roster_->services.find(service_);
    if (service == roster_->services.end()) {
        return failWith(PassEnd::NoUpstream);
    }
    const Steering::ServiceRoster &candidates = *service->second;
    candidates.record->requests.fetch_add(1, std::memory_order_relaxed);
    candidates.record->retries.countRequest(context_.clock.monotonic(), context_.retryBound);
    while (true) {
        if (auto result = attemptOnce(route, candidates)) {
            return std::move(*result);
        }
    }
}

std::optional<PassResult> RequestPass::attemptOnce(const Steering::RouteRule &route, const Steering::ServiceRoster &service)
{
    const Base::MonotonicMs now = context_.clock.monotonic();
    if (now >= deadline_) {
        return failAtDeadline();
    }
    const Steering::Selection selection
        = Steering::selectUpstream(*roster_, service, {&route, keyHash_, triedUpstreams_, now}, context_.selectorBounds, context_.flow);
    lastLoad_ = selection.loadPerSlot;
    if (selection.end != Steering::SelectionEnd::Selected) {
        if (selection.end == Steering::SelectionEnd::AllFull && waitForFreeCapacity(route)) {
            return std::nullopt;
        }
        if (caller_.isPeerGone()) {
            return failWith(PassEnd::CallerGone);
        }
        const bool full = selection.end == Steering::SelectionEnd::AllFull;
        return failWith(mayHaveRun_ ? PassEnd::OutcomeUnknown : full ? PassEnd::NoRoom : PassEnd::NoUpstream);
    }
    ++selections_;
    Upstreams::CallResult result;
    const TryOutcome outcome = send(*selection.upstream, route, *service.record, result);
    return afterAttempt(route, service, outcome, result);
}

TryOutcome RequestPass::send(
    const Steering::RosterUpstream &upstream, const Steering::RouteRule &route, Steering::ServiceRecord &service, Upstreams::CallResult &result)
{
    const Base::MonotonicMs begin = context_.clock.monotonic();
    upstream.record->beginTry();
    Upstreams::UpstreamCall call(context_.channels, context_.memory, context_.clock);
    result = call.run(upstream.entry, {request_.head, request_.body, request_.facts.requestId, route.idempotent}, caller_, deadline_);
    const Base::MonotonicMs now = context_.clock.monotonic();
    const TryOutcome outcome = outcomeOf(result);
    if (const auto &load = result.answer.facts.load) {
        service.load.note(*load, now);
    }
    // A timeout says nothing about the upstream if the caller's deadline is shorter than requests usually take.
    const bool conclusive = outcome != TryOutcome::Silent || now - begin >= objectivesUntilTimeoutCounts * route.objectiveMs;
    if (conclusive && (outcome == TryOutcome::Answered || outcome == TryOutcome::Silent)) {
        const double share = service.silentShare.load(std::memory_order_relaxed);
        service.silentShare.store(Steering::nextSilentShare(share, outcome == TryOutcome::Silent, serviceTimeoutRateWeight), std::memory_order_relaxed);
    }
    const double silentShare = service.silentShare.load(std::memory_order_relaxed);
    logHealthChange(upstream, upstream.record->endTry(conclusive ? outcome : TryOutcome::Abandoned, result.answer.facts.load, silentShare, now), outcome);
    if (outcome != TryOutcome::Answered && outcome != TryOutcome::Abandoned) {
        context_.channels.closeIdle(upstream.entry.id);
    }
    recordAttempt(upstream, outcome, now - begin);
    return outcome;
}

void RequestPass::recordAttempt(const Steering::RosterUpstream &upstream, TryOutcome outcome, std::int64_t tookMs)
{
    context_.metrics.countAttempt(outcome);
    triedUpstreams_.push_back(upstream.idHash);
    lastUpstream_ = upstream.entry.id;
    lastOutcome_ = Steering::toString(outcome);
    if (!attemptTrail_.empty()) {
        attemptTrail_ += ',';
    }
    attemptTrail_ += upstream.entry.id;
    attemptTrail_ += ':';
    attemptTrail_ += lastOutcome_;
    attemptTrail_ += ':';
    attemptTrail_ += std::to_string(tookMs);
}

void RequestPass::logHealthChange(const Steering::RosterUpstream &upstream, const Steering::UpstreamRecord::StandingChange &change, TryOutcome outcome) const
{
    if (change.before == change.after) {
        return;
    }
    const Steering::UpstreamHealth health = upstream.record->health();
    Base::log(Base::LogLevel::Info, "upstream-standing",
        {{"upstream", upstream.entry.id}, {"service", upstream.entry.service}, {"zone", upstream.entry.zone},
            {"before", std::string(Steering::toString(change.before))}, {"after", std::string(Steering::toString(change.after))},
            {"outcome", std::string(Steering::toString(outcome))}, {"request", request_.facts.requestId}, {"faults", health.consecutiveFaults},
            {"failurePercent", static_cast<int>(100 * health.failureShare)}, {"timeoutPercent", static_cast<int>(100 * health.silentShare)},
            {"backoffMs", health.backoffMs}});
}

std::optional<PassResult> RequestPass::afterAttempt(
    const Steering::RouteRule &route, const Steering::ServiceRoster &service, TryOutcome outcome, Upstreams::CallResult &result)
{
    if (outcome == TryOutcome::Abandoned) {
        return failWith(PassEnd::CallerGone);
    }
    if (outcome == TryOutcome::Answered) {
        PassResult answered{PassEnd::Answered, std::move(result.answer), 0, 0};
        return answered;
    }
    const bool delivered = isDelivered(outcome);
    deliveredAttempts_ += delivered ? 1 : 0;
    mayHaveRun_ = mayHaveRun_ || !isNotRun(outcome);
    if (outcome == TryOutcome::Silent) {
        return failAtDeadline();
    }
    // There would be no memory for the answer to a retry either.
    const bool retryable = (route.idempotent || !mayHaveRun_) && outcome != TryOutcome::Discarded;
    if (retryable && mayRetry(route, service, delivered)) {
        return std::nullopt;
    }
    if (outcome == TryOutcome::Failed && !impliesNotRun(result.answer.status) && result.answer.facts.isSigned) {
        PassResult failed{PassEnd::Answered, std::move(result.answer), 0, 0};
        return failed;
    }
    return failWith(mayHaveRun_ ? PassEnd::OutcomeUnknown : delivered ? PassEnd::UpstreamsRefused : PassEnd::NoUpstream);
}

bool RequestPass::mayRetry(const Steering::RouteRule &route, const Steering::ServiceRoster &service, bool delivered)
{
    if (selections_ >= maxSelections || deliveredAttempts_ >= route.maxAttempts) {
        return false;
    }
    if (!delivered) {
        return true;
    }
    const bool allowed = service.record->retries.trySpend(context_.clock.monotonic(), context_.retryBound, roster_->fleetSize);
    context_.metrics.countRetry(allowed);
    return allowed;
}

bool RequestPass::waitForFreeCapacity(const Steering::RouteRule &route)
{
    using Steering::roomWaitStepMs;
    const std::int64_t limit = Steering::longestRoomWaitMs(route.objectiveMs);
    if (waitedMs_ + roomWaitStepMs > limit || context_.clock.monotonic() + roomWaitStepMs >= deadline_ || caller_.isPeerGone()) {
        return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(roomWaitStepMs));
    waitedMs_ += roomWaitStepMs;
    return true;
}

PassResult RequestPass::failAtDeadline() const
{
    return failWith(mayHaveRun_ ? PassEnd::DeadlineAfterSend : PassEnd::DeadlineBeforeSend);
}

PassResult RequestPass::failWith(PassEnd end) const
{
    PassResult result;
    result.end = end;
    switch (end) {
    case PassEnd::NoRoute:
        result.status = HTTPResponse::HTTP_NOT_FOUND;
        break;
    case PassEnd::OutcomeUnknown:
        result.status = HTTPResponse::HTTP_BAD_GATEWAY;
        break;
    case PassEnd::DeadlineAfterSend:
        result.status = HTTPResponse::HTTP_GATEWAY_TIMEOUT;
        break;
    case PassEnd::NoRoom:
    case PassEnd::UpstreamsRefused:
    case PassEnd::DeadlineBeforeSend:
        result.status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
        result.retryAfterMs = Steering::returnAfterMs(Steering::RefusalReason::NoRoom, evenlySpreadPoint(sequenceNumber_));
        break;
    default:
        result.status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
        result.retryAfterMs = Steering::returnAfterMs(Steering::RefusalReason::NoUpstream, evenlySpreadPoint(sequenceNumber_));
        break;
    }
    return result;
}

void RequestPass::logRequest(const PassResult &result) const
{
    const bool succeeded = result.end == PassEnd::Answered && result.answer.status < HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    if (succeeded ? sequenceNumber_ % successSampleInterval != 0 || !context_.sampleLog.tryTake() : !context_.failureLog.tryTake()) {
        return;
    }
    const Base::MonotonicMs now = context_.clock.monotonic();
    Base::log(Base::LogLevel::Info, "request",
        {{"request", request_.facts.requestId}, {"end", std::string(toString(result.end))},
            {"status", result.end == PassEnd::Answered ? result.answer.status : result.status}, {"route", routeName_}, {"service", service_},
            {"manifest", roster_->manifest ? roster_->manifest->version : 0}, {"upstream", lastUpstream_}, {"outcome", std::string(lastOutcome_)},
            {"tries", deliveredAttempts_}, {"choices", selections_}, {"trail", attemptTrail_}, {"loadPercent", static_cast<int>(100 * lastLoad_)},
            {"waitMs", waitedMs_}, {"tookMs", now - request_.arrivedAt}, {"leftMs", deadline_ - now}, {"retryAfterMs", result.retryAfterMs}});
}

} // namespace Wasabistair::Callers
