#include "forwarding.h"

#include <base/log.h>

#include <Poco/Thread.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Wasabistair::Callers {

namespace {

using Upstreams::Exchange;
using Upstreams::TryResult;

constexpr std::size_t copyBytes = 32 * 1024;
constexpr Base::MonotonicMs shedPauseMs = 100;
constexpr Base::MonotonicMs connectFailurePauseMs = 1'000;
constexpr Base::MonotonicMs silencePauseMs = 500;
constexpr Base::MonotonicMs leavingHoldMs = 10'000;
constexpr std::int64_t memoryCheckMs = 20;
/// Of two tries that race, how long neither's deadline nor the caller is looked at.
constexpr std::int64_t raceStepMs = 20;

std::int64_t deadlineMs(const CallerExchange &exchange, const Steering::Service &service)
{
    const std::string given = exchange.request().get(Http::deadlineHeader, "");
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(given.data(), given.data() + given.size(), value);
    const bool usable = !given.empty() && error == std::errc{} && end == given.data() + given.size() && value > 0;
    return usable ? std::min(value, service.deadlineMs) : service.deadlineMs;
}

void drainRefusal(Exchange &exchange)
{
    std::array<char, copyBytes> buffer;
    while (exchange.answerBody().state() == Http::BodyState::More) {
        exchange.answerBody().read(buffer.data(), buffer.size());
    }
}

} // namespace

bool StreamCounter::tryEnter(const std::string &service, std::int64_t limit)
{
    const std::lock_guard lock(mutex_);
    std::int64_t &count = counts_[service];
    if (count >= limit) {
        return false;
    }
    ++count;
    return true;
}

void StreamCounter::leave(const std::string &service)
{
    const std::lock_guard lock(mutex_);
    --counts_[service];
}

Forwarding::Forwarding(CallerExchange &exchange, const ServiceMatch &match, const ForwardingContext &context)
    : exchange_(exchange)
    , service_(*match.service)
    , retryBudget_(*match.retryBudget)
    , context_(context)
    , startUs_(Base::monotonicMicroseconds())
    , idempotent_(Steering::isIdempotent(service_, exchange.request().getMethod(), exchange.request().getURI()))
{}

Forwarding::~Forwarding()
{
    if (streaming_) {
        context_.streams.leave(service_.name);
    }
}

void Forwarding::run()
{
    if (exchange_.framing().length > service_.maxBodyBytes) {
        refuse({ProblemKind::BodyTooLarge, RunState::NotRun});
        return;
    }
    // Time that the caller takes for its body does not count against the upstream's deadline.
    exchange_.limitBody(service_.progressTimeoutMs, context_.clock.monotonic() + context_.limits.bodyTimeoutMs);
    BufferedBody body(exchange_, context_.budget, service_.maxBodyBytes);
    if (!takeBody(body)) {
        refuse({ProblemKind::NoHeadroom, RunState::NotRun});
        return;
    }
    if (body.isBroken()) {
        refuseBrokenBody(RunState::NotRun);
        return;
    }
    if (body.exceedsLimit()) {
        refuse({ProblemKind::BodyTooLarge, RunState::NotRun});
        return;
    }
    deadline_ = context_.clock.monotonic() + deadlineMs(exchange_, service_);
    retryBudget_.countFirstTry(service_.retryPercent);
    while (!tryOnce(body)) {
        context_.tries.retries.fetch_add(1, std::memory_order_relaxed);
        body.rewind();
    }
}

/// Reads the body into memory, or as much of it as there is room for and then enters the streams.
/// False when neither memory nor a stream became free in time.
bool Forwarding::takeBody(BufferedBody &body)
{
    const Base::MonotonicMs end = context_.clock.monotonic() + service_.progressTimeoutMs;
    while (true) {
        body.readAhead();
        if (body.isWhole() || body.isBroken() || body.exceedsLimit()) {
            return true;
        }
        streaming_ = context_.streams.tryEnter(service_.name, context_.router.maxStreams(service_.name));
        if (streaming_) {
            return true;
        }
        if (context_.clock.monotonic() >= end) {
            return false;
        }
        Poco::Thread::sleep(memoryCheckMs);
    }
}

/// Makes one try, or two that race. Returns true when the caller was answered (or is gone).
bool Forwarding::tryOnce(BufferedBody &body)
{
    const Base::MonotonicMs wait = std::min(service_.queueWaitMs, deadline_ - context_.clock.monotonic());
    auto acquired = context_.router.acquire(service_.name, excluded_, wait);
    if (const auto *refusal = std::get_if<Steering::Refusal>(&acquired)) {
        refuseWithoutRoute(*refusal);
        return true;
    }
    UpstreamAttempt attempt(context_.router, context_.pool, std::get<Route>(std::move(acquired)), service_.cancelMs);
    ++tries_;
    return makeAttempt(attempt, body);
}

void Forwarding::refuseWithoutRoute(Steering::Refusal refusal)
{
    if (lastFailure_) {
        refuse(*lastFailure_);
        return;
    }
    switch (refusal) {
    case Steering::Refusal::NoPlace:
        refuse({ProblemKind::NoPlace, RunState::NotRun});
        return;
    case Steering::Refusal::NoSlot:
        refuse({ProblemKind::NotReady, RunState::NotRun});
        return;
    case Steering::Refusal::NoHeadroom:
        refuse({ProblemKind::NoHeadroom, RunState::NotRun});
        return;
    }
}

bool Forwarding::makeAttempt(UpstreamAttempt &attempt, BufferedBody &body)
{
    const Route &route = attempt.route();
    place_ = route.place;
    if (!attempt.connect(connectionUse())) {
        route.load->observeFailure(context_.clock.monotonic(), connectFailurePauseMs);
        return again(route, {ProblemKind::UpstreamUnreachable, RunState::NotRun}, true, RetryCost::Free);
    }
    // The process may have been paused since the decision: everything is checked again right here.
    if (context_.clock.monotonic() >= deadline_) {
        refuse({ProblemKind::DeadlineBeforeSend, RunState::NotRun});
        return true;
    }
    if (!context_.router.mayStillSend(route)) {
        return again(route, {ProblemKind::NoHeadroom, RunState::NotRun}, true, RetryCost::Free);
    }
    TryResult result = send(attempt, body);
    if (result == TryResult::Pending && mayHedge(body)) {
        result = attempt.exchange().await(service_.hedgeAfterMs);
        const std::unique_ptr<UpstreamAttempt> second = result == TryResult::Pending ? startHedge(attempt, body) : nullptr;
        if (second) {
            return concludeRace(attempt, *second, body);
        }
    }
    if (result == TryResult::Pending || result == TryResult::Answered) {
        result = attempt.exchange().finish();
    }
    observe(result, attempt);
    return conclude(result, attempt, body);
}

/// The first byte of an answer that can be read decides; the other try is cancelled.
bool Forwarding::concludeRace(UpstreamAttempt &first, UpstreamAttempt &second, BufferedBody &body)
{
    const Outcome outcome = race(first, second);
    (outcome.attempt == &first ? second : first).end();
    place_ = outcome.attempt->route().place;
    return conclude(outcome.result, *outcome.attempt, body);
}

Upstreams::ConnectionUse Forwarding::connectionUse() const
{
    const bool mayReuse = idempotent_ && !silenceSeen_;
    return mayReuse ? Upstreams::ConnectionUse::ReuseIdle : Upstreams::ConnectionUse::Fresh;
}

TryResult Forwarding::send(UpstreamAttempt &attempt, BufferedBody &body)
{
    // An idle connection may have fallen silent for good while the server is well; a slow server is
    // not told from that, so the next try costs retry budget.
    const std::int64_t firstByteMs = attempt.isReused() ? service_.progressTimeoutMs : INT64_MAX;
    Exchange &exchange = attempt.begin(context_.clock, {deadline_, service_.progressTimeoutMs, firstByteMs}, hooks(attempt.route()));
    return exchange.send(outgoing(), body);
}

bool Forwarding::mayHedge(const BufferedBody &body) const
{
    return service_.hedgeAfterMs > 0 && idempotent_ && body.isWhole() && tries_ < service_.maxAttempts;
}

/// A second try beside the first, sent and pending; null when there is no unit free at once, no budget or no
/// connection.
std::unique_ptr<UpstreamAttempt> Forwarding::startHedge(const UpstreamAttempt &first, BufferedBody &body)
{
    excluded_.push_back(first.route().server.id);
    auto acquired = context_.router.acquire(service_.name, excluded_, 0);
    auto *route = std::get_if<Route>(&acquired);
    if (!route) {
        return nullptr;
    }
    auto second = std::make_unique<UpstreamAttempt>(context_.router, context_.pool, std::move(*route), service_.cancelMs);
    if (!second->connect(connectionUse())) {
        second->route().load->observeFailure(context_.clock.monotonic(), connectFailurePauseMs);
        return nullptr;
    }
    const bool late = context_.clock.monotonic() >= deadline_ || !context_.router.mayStillSend(second->route());
    if (late || !retryBudget_.trySpend()) {
        return nullptr;
    }
    ++tries_;
    context_.tries.hedges.fetch_add(1, std::memory_order_relaxed);
    body.rewind();
    const TryResult result = send(*second, body);
    if (result == TryResult::Pending) {
        return second;
    }
    observe(result, *second);
    return nullptr;
}

/// Both are pending. Returns the first that was answered, else the one that failed last; what was seen of
/// either server is noted.
Forwarding::Outcome Forwarding::race(UpstreamAttempt &first, UpstreamAttempt &second)
{
    std::vector<UpstreamAttempt *> pending = {&first, &second};
    while (true) {
        for (UpstreamAttempt *attempt : std::vector<UpstreamAttempt *>(pending)) {
            TryResult result = attempt->exchange().await(0);
            if (result == TryResult::Pending) {
                continue;
            }
            if (result == TryResult::Answered) {
                result = attempt->exchange().readAnswer();
            }
            observe(result, *attempt);
            std::erase(pending, attempt);
            const bool mayFailover = result == TryResult::Refused || result == TryResult::NoAnswer;
            if (!mayFailover || pending.empty()) {
                return {result, attempt};
            }
            if (result == TryResult::NoAnswer) {
                // Whatever the other says: this one may have run.
                lastFailure_ = Problem{ProblemKind::UpstreamNoAnswer, RunState::Unknown};
            }
        }
        std::vector<Exchange *> exchanges;
        for (const UpstreamAttempt *attempt : pending) {
            exchanges.push_back(&attempt->exchange());
        }
        Exchange::awaitAny(exchanges, raceStepMs);
    }
}

Upstreams::TryHooks Forwarding::hooks(const Route &route)
{
    Upstreams::TryHooks hooks;
    hooks.callerGone = [this] { return exchange_.callerGone(); };
    if (route.uploadLink) {
        hooks.paceUpload = [this, link = route.uploadLink](std::size_t bytes) { pace(*link, bytes); };
    }
    return hooks;
}

void Forwarding::pace(Steering::LinkBudget &link, std::size_t bytes) const
{
    const Base::MonotonicMs wait = link.book(static_cast<std::int64_t>(bytes), context_.clock.monotonic());
    if (wait > 0) {
        Poco::Thread::sleep(wait);
    }
}

Upstreams::OutgoingRequest Forwarding::outgoing() const
{
    Http::HeaderList headers = Http::endToEndHeaders(exchange_.request());
    headers.emplace_back("X-Forwarded-For", exchange_.callerAddress());
    return {exchange_.request().getMethod(), exchange_.request().getURI(), std::move(headers)};
}

/// Notes what a try says about its server; once for each try.
void Forwarding::observe(TryResult result, const UpstreamAttempt &attempt)
{
    const Base::MonotonicMs now = context_.clock.monotonic();
    const Route &route = attempt.route();
    if (result == TryResult::Answered || result == TryResult::Refused) {
        route.load->observeAnswer(now);
        if (attempt.exchange().announcesLeaving()) {
            route.load->observeLeaving(now, leavingHoldMs);
        }
    }
    if (result == TryResult::Refused) {
        route.load->observeShed(now, shedPauseMs);
        drainRefusal(attempt.exchange());
    }
    if (result == TryResult::NoAnswer) {
        silenceSeen_ = true;
        if (!attempt.isReused()) {
            route.load->observeFailure(now, silencePauseMs);
        }
    }
    if (result == TryResult::NoAnswer || result == TryResult::DeadlinePassed) {
        context_.pool.dropIdle(route.server.id);
    }
}

/// Answers the caller by the result of a try. Returns false when there is to be another try.
bool Forwarding::conclude(TryResult result, UpstreamAttempt &attempt, BufferedBody &body)
{
    const Route &route = attempt.route();
    switch (result) {
    case TryResult::Answered:
        return relayAnswer(attempt, body);
    case TryResult::Refused:
        return again(route, {ProblemKind::UpstreamRefused, RunState::NotRun}, body.isWhole());
    case TryResult::Pending:
    case TryResult::NoAnswer:
        return again(route, {ProblemKind::UpstreamNoAnswer, RunState::Unknown}, idempotent_ && body.isWhole());
    case TryResult::CallerBodyCut:
        if (body.exceedsLimit()) {
            refuse({ProblemKind::BodyTooLarge, RunState::Unknown});
        } else {
            refuseBrokenBody(RunState::Unknown);
        }
        return true;
    case TryResult::CallerGone:
        exchange_.cut();
        record(RequestOutcome::Failed);
        return true;
    case TryResult::DeadlinePassed:
        refuse({ProblemKind::DeadlineAfterSend, RunState::Unknown});
        return true;
    }
    return true;
}

/// Decides on another try. @p repeatable: the request may be sent again at all.
/// Returns false when there is to be another try; else answers @p failure.
bool Forwarding::again(const Route &route, const Problem &failure, bool repeatable, RetryCost cost)
{
    // Once a try's outcome is unknown, a later refusal cannot say that the request was not run.
    const RunState run = lastFailure_ && lastFailure_->run == RunState::Unknown ? RunState::Unknown : failure.run;
    lastFailure_ = Problem{failure.kind, run};
    excluded_.push_back(route.server.id);
    const bool allowed = repeatable && tries_ < service_.maxAttempts && context_.clock.monotonic() < deadline_;
    if (allowed && (cost == RetryCost::Free || retryBudget_.trySpend())) {
        return false;
    }
    refuse(*lastFailure_);
    return true;
}

bool Forwarding::relayAnswer(UpstreamAttempt &attempt, BufferedBody &body)
{
    const Route &route = attempt.route();
    Exchange &exchange = attempt.exchange();
    Http::BodyReader &answer = exchange.answerBody();
    if (answer.framing() == Http::Framing::UntilClose) {
        // Its end could not be told from a cut.
        return again(route, {ProblemKind::UpstreamNoAnswer, RunState::Unknown}, idempotent_ && body.isWhole());
    }
    std::array<char, copyBytes> buffer;
    std::size_t count = answer.read(buffer.data(), buffer.size());
    if (answer.state() == Http::BodyState::Cut) {
        context_.pool.dropIdle(route.server.id);
        return again(route, {ProblemKind::UpstreamNoAnswer, RunState::Unknown}, idempotent_ && body.isWhole());
    }
    std::ostream &out = startAnswer(exchange);
    while (true) {
        if (route.answerLink && count > 0) {
            pace(*route.answerLink, count);
        }
        out.write(buffer.data(), static_cast<std::streamsize>(count));
        if (answer.state() == Http::BodyState::Complete) {
            break;
        }
        count = answer.read(buffer.data(), buffer.size());
        if (answer.state() == Http::BodyState::Cut || !out.good() || context_.clock.monotonic() >= deadline_) {
            // Closing now leaves the caller with a body that is visibly short.
            exchange_.cut();
            record(RequestOutcome::Failed);
            return true;
        }
    }
    out.flush();
    record(RequestOutcome::Answered);
    return true;
}

std::ostream &Forwarding::startAnswer(const Exchange &exchange)
{
    const Poco::Net::HTTPResponse &response = exchange.response();
    const bool head = exchange_.request().getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
    const int status = response.getStatus();
    const bool hasBody = status != Poco::Net::HTTPResponse::HTTP_NO_CONTENT && status != Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    const bool hasLength = response.hasContentLength();
    const std::int64_t length = hasLength ? response.getContentLength64() : -1;
    const bool described = hasBody && (hasLength || !head);
    return exchange_.startAnswer(status, response.getReason(), Http::endToEndHeaders(response), length, described);
}

void Forwarding::refuseBrokenBody(RunState run)
{
    const bool stalled = !exchange_.callerGone();
    refuse({stalled ? ProblemKind::CallerStalled : ProblemKind::BodyCut, run});
}

void Forwarding::refuse(const Problem &problem)
{
    record(RequestOutcome::Refused);
    Base::log(Base::LogLevel::Debug, "request-refused",
        {{"service", service_.name}, {"problem", std::string(problemType(problem.kind))}, {"run", std::string(toString(problem.run))}});
    exchange_.answer(problem);
}

void Forwarding::record(RequestOutcome outcome)
{
    context_.router.record(service_.name, place_, outcome, Base::monotonicMicroseconds() - startUs_);
}

} // namespace Wasabistair::Callers
