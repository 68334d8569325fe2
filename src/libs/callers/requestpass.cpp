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

// Upstreams looked at while none can be reached.
constexpr int maxChoices = 8;
constexpr double msPerSecond = 1000;
// An upstream is silent when it took this many times the latency objective and had not answered.
constexpr std::int64_t timesObjectiveForSilence = 2;
// A service's silent share follows some fifty tries, about a second of a VM's requests.
constexpr double weightInService = 0.02;
// One in so many requests that went well is logged.
constexpr std::uint64_t sampledRequests = 64;
// Fractional part of the golden ratio: successive multiples spread evenly over [0, 1) for any number of them.
constexpr double goldenFraction = 0.6180339887498949;

double pointOf(std::uint64_t number)
{
    const double value = static_cast<double>(number & 0xffffffffULL) * goldenFraction;
    return value - std::floor(value);
}

bool isPromise(int status)
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
        // The upstream may have closed an idle connection just then; that says nothing about its health.
        return result.reusedConnection && !result.answerBegun ? TryOutcome::StaleConnection : TryOutcome::Broken;
    case CallEnd::TimedOut:
        return TryOutcome::Silent;
    case CallEnd::NoMemory:
        return TryOutcome::Discarded;
    case CallEnd::CallerGone:
        return TryOutcome::Abandoned;
    }
    return TryOutcome::Broken;
}

bool hasArrived(TryOutcome outcome)
{
    return outcome != TryOutcome::NoConnection && outcome != TryOutcome::ConnectTimeout;
}

bool isNotRun(TryOutcome outcome)
{
    return !hasArrived(outcome) || outcome == TryOutcome::RefusedFull || outcome == TryOutcome::RefusedWithRoom || outcome == TryOutcome::WrongInstance;
}

} // namespace

RequestPass::RequestPass(PassContext &context, const CallerRequest &request, const Http::ByteStream &caller)
    : context_(context)
    , request_(request)
    , caller_(caller)
    , roster_(context.roster.read([](const Steering::Roster &roster) { return roster.shared_from_this(); }))
    , number_(context.sequence.fetch_add(1, std::memory_order_relaxed))
{}

PassResult RequestPass::run()
{
    PassResult result;
    const Base::MonotonicMs stop = context_.stopDeadline.load(std::memory_order_relaxed);
    if (!roster_->manifest) {
        result = giveUp(PassEnd::NotReady);
    } else if (const auto *route = Steering::findRoute(*roster_->manifest, requestHost(request_.head), requestPath(request_.head))) {
        const std::int64_t budget = request_.facts.budgetMs.value_or(defaultBudgetMs);
        deadline_ = request_.arrivedAt + (route->timeoutMs > 0 ? std::min(budget, route->timeoutMs) : budget);
        deadline_ = stop > 0 ? std::min(deadline_, stop) : deadline_;
        result = passTo(*route);
    } else {
        result = giveUp(PassEnd::NoRoute);
    }
    logEnd(result);
    context_.metrics.countRequest(result.end, static_cast<double>(context_.clock.monotonic() - request_.arrivedAt) / msPerSecond);
    return result;
}

PassResult RequestPass::passTo(const Steering::RouteRule &route)
{
    routeName_ = route.name;
    service_ = Steering::serviceAt(route, pointOf(number_));
    const bool keyed = route.sticky && !request_.facts.affinityKey.empty();
    keyHash_ = Steering::hashOf(keyed ? request_.facts.affinityKey : std::to_string(number_) + request_.facts.requestId);
    const auto service = roster_->services.find(service_);
    if (service == roster_->services.end()) {
        return giveUp(PassEnd::NoUpstream);
    }
    const Steering::ServiceRoster &candidates = *service->second;
    candidates.record->requests.fetch_add(1, std::memory_order_relaxed);
    candidates.record->retries.countRequest(context_.clock.monotonic(), context_.retryBound);
    while (true) {
        if (auto result = tryOnce(route, candidates)) {
            return std::move(*result);
        }
    }
}

std::optional<PassResult> RequestPass::tryOnce(const Steering::RouteRule &route, const Steering::ServiceRoster &service)
{
    const Base::MonotonicMs now = context_.clock.monotonic();
    if (now >= deadline_) {
        return atDeadline();
    }
    const Steering::Selection selection = Steering::selectUpstream(*roster_, service, {&route, keyHash_, tried_, now}, context_.selectorBounds, context_.flow);
    lastLoad_ = selection.loadPerSlot;
    if (selection.end != Steering::SelectionEnd::Selected) {
        if (selection.end == Steering::SelectionEnd::AllFull && waitForRoom(route)) {
            return std::nullopt;
        }
        if (caller_.isPeerGone()) {
            return giveUp(PassEnd::CallerGone);
        }
        const bool full = selection.end == Steering::SelectionEnd::AllFull;
        return giveUp(mayHaveRun_ ? PassEnd::OutcomeUnknown : full ? PassEnd::NoRoom : PassEnd::NoUpstream);
    }
    ++choices_;
    Upstreams::CallResult result;
    const TryOutcome outcome = send(*selection.upstream, route, *service.record, result);
    return afterTry(route, service, outcome, result);
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
    // A caller that waits for less than requests usually take says nothing about the upstream.
    const bool telling = outcome != TryOutcome::Silent || now - begin >= timesObjectiveForSilence * route.objectiveMs;
    if (telling && (outcome == TryOutcome::Answered || outcome == TryOutcome::Silent)) {
        const double share = service.silentShare.load(std::memory_order_relaxed);
        service.silentShare.store(Steering::nextSilentShare(share, outcome == TryOutcome::Silent, weightInService), std::memory_order_relaxed);
    }
    const double silentShare = service.silentShare.load(std::memory_order_relaxed);
    noteStanding(upstream, upstream.record->endTry(telling ? outcome : TryOutcome::Abandoned, result.answer.facts.load, silentShare, now), outcome);
    if (outcome != TryOutcome::Answered && outcome != TryOutcome::Abandoned) {
        context_.channels.drop(upstream.entry.id);
    }
    noteTry(upstream, outcome, now - begin);
    return outcome;
}

void RequestPass::noteTry(const Steering::RosterUpstream &upstream, TryOutcome outcome, std::int64_t tookMs)
{
    context_.metrics.countTry(outcome);
    tried_.push_back(upstream.idHash);
    lastUpstream_ = upstream.entry.id;
    lastOutcome_ = Steering::toString(outcome);
    if (!trail_.empty()) {
        trail_ += ',';
    }
    trail_ += upstream.entry.id;
    trail_ += ':';
    trail_ += lastOutcome_;
    trail_ += ':';
    trail_ += std::to_string(tookMs);
}

void RequestPass::noteStanding(const Steering::RosterUpstream &upstream, const Steering::UpstreamRecord::StandingChange &change, TryOutcome outcome) const
{
    if (change.before == change.after) {
        return;
    }
    const Steering::UpstreamHealth health = upstream.record->health();
    Base::log(Base::LogLevel::Info, "upstream-standing",
        {{"upstream", upstream.entry.id}, {"service", upstream.entry.service}, {"zone", upstream.entry.zone},
            {"before", std::string(Steering::toString(change.before))}, {"after", std::string(Steering::toString(change.after))},
            {"outcome", std::string(Steering::toString(outcome))}, {"request", request_.facts.requestId}, {"faults", health.consecutiveFaults},
            {"failurePercent", static_cast<int>(100 * health.failureShare)}, {"silentPercent", static_cast<int>(100 * health.silentShare)},
            {"backoffMs", health.backoffMs}});
}

std::optional<PassResult> RequestPass::afterTry(
    const Steering::RouteRule &route, const Steering::ServiceRoster &service, TryOutcome outcome, Upstreams::CallResult &result)
{
    if (outcome == TryOutcome::Abandoned) {
        return giveUp(PassEnd::CallerGone);
    }
    if (outcome == TryOutcome::Answered) {
        PassResult answered{PassEnd::Answered, std::move(result.answer), 0, 0};
        return answered;
    }
    const bool arrived = hasArrived(outcome);
    arrivals_ += arrived ? 1 : 0;
    mayHaveRun_ = mayHaveRun_ || !isNotRun(outcome);
    if (outcome == TryOutcome::Silent) {
        return atDeadline();
    }
    // Another answer would find no memory either.
    const bool repeatable = (route.idempotent || !mayHaveRun_) && outcome != TryOutcome::Discarded;
    if (repeatable && mayRepeat(route, service, arrived)) {
        return std::nullopt;
    }
    if (outcome == TryOutcome::Failed && !isPromise(result.answer.status) && result.answer.facts.isSigned) {
        PassResult failed{PassEnd::Answered, std::move(result.answer), 0, 0};
        return failed;
    }
    return giveUp(mayHaveRun_ ? PassEnd::OutcomeUnknown : arrived ? PassEnd::UpstreamsRefused : PassEnd::NoUpstream);
}

bool RequestPass::mayRepeat(const Steering::RouteRule &route, const Steering::ServiceRoster &service, bool arrived)
{
    if (choices_ >= maxChoices || arrivals_ >= route.maxAttempts) {
        return false;
    }
    if (!arrived) {
        return true;
    }
    const bool allowed = service.record->retries.trySpend(context_.clock.monotonic(), context_.retryBound, roster_->fleetSize);
    context_.metrics.countRepeat(allowed);
    return allowed;
}

bool RequestPass::waitForRoom(const Steering::RouteRule &route)
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

PassResult RequestPass::atDeadline() const
{
    return giveUp(mayHaveRun_ ? PassEnd::DeadlineSent : PassEnd::DeadlineUnsent);
}

PassResult RequestPass::giveUp(PassEnd end) const
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
    case PassEnd::DeadlineSent:
        result.status = HTTPResponse::HTTP_GATEWAY_TIMEOUT;
        break;
    case PassEnd::NoRoom:
    case PassEnd::UpstreamsRefused:
    case PassEnd::DeadlineUnsent:
        result.status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
        result.retryAfterMs = Steering::returnAfterMs(Steering::RefusalReason::NoRoom, pointOf(number_));
        break;
    default:
        result.status = HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
        result.retryAfterMs = Steering::returnAfterMs(Steering::RefusalReason::NoUpstream, pointOf(number_));
        break;
    }
    return result;
}

void RequestPass::logEnd(const PassResult &result) const
{
    const bool well = result.end == PassEnd::Answered && result.answer.status < HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    if (well ? number_ % sampledRequests != 0 || !context_.sampleLog.tryTake() : !context_.failureLog.tryTake()) {
        return;
    }
    const Base::MonotonicMs now = context_.clock.monotonic();
    Base::log(Base::LogLevel::Info, "request",
        {{"request", request_.facts.requestId}, {"end", std::string(toString(result.end))},
            {"status", result.end == PassEnd::Answered ? result.answer.status : result.status}, {"route", routeName_}, {"service", service_},
            {"manifest", roster_->manifest ? roster_->manifest->version : 0}, {"upstream", lastUpstream_}, {"outcome", std::string(lastOutcome_)},
            {"tries", arrivals_}, {"choices", choices_}, {"trail", trail_}, {"loadPercent", static_cast<int>(100 * lastLoad_)}, {"waitMs", waitedMs_},
            {"tookMs", now - request_.arrivedAt}, {"leftMs", deadline_ - now}, {"retryAfterMs", result.retryAfterMs}});
}

} // namespace Wasabistair::Callers
