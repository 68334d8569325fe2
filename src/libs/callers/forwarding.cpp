#include "forwarding.h"

#include <base/log.h>

#include <Poco/Thread.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Wasabistair::Callers {

namespace {

using Upstreams::AttemptResult;
using Upstreams::Exchange;

constexpr std::size_t copyBufferBytes = 32 * 1024;
constexpr Base::MonotonicMs loadSheddingPauseMs = 100;
constexpr Base::MonotonicMs noAnswerPauseMs = 500;
constexpr Base::MonotonicMs leavingValidMs = 10'000;
constexpr std::int64_t bufferPollMs = 20;

std::int64_t deadlineMs(const CallerExchange &exchange, const Steering::Service &service)
{
    const std::string given = exchange.request().get(Http::deadlineHeader, "");
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(given.data(), given.data() + given.size(), value);
    const bool usable = !given.empty() && error == std::errc{} && end == given.data() + given.size() && value > 0;
    return usable ? std::min(value, service.deadlineMs) : service.deadlineMs;
}

} // namespace

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
        context_.streams.release(service_.name);
    }
}

void Forwarding::run()
{
    if (exchange_.framing().length > service_.maxBodyBytes) {
        reject({ProblemKind::BodyTooLarge, ExecutionState::NotExecuted});
        return;
    }
    // The time that the caller takes to send its body does not count against the deadline of the request.
    exchange_.setBodyTimeouts(service_.progressTimeoutMs, context_.clock.monotonic() + context_.limits.bodyTimeoutMs);
    BufferedBody body(exchange_, context_.budget, service_.maxBodyBytes);
    if (!readBody(body)) {
        reject({ProblemKind::NoHeadroom, ExecutionState::NotExecuted});
        return;
    }
    if (body.isBroken()) {
        rejectBrokenBody(ExecutionState::NotExecuted);
        return;
    }
    if (body.exceedsLimit()) {
        reject({ProblemKind::BodyTooLarge, ExecutionState::NotExecuted});
        return;
    }
    deadline_ = context_.clock.monotonic() + deadlineMs(exchange_, service_);
    retryBudget_.countFirstAttempt(service_.retryPercent);
    while (!attemptOnce(body)) {
        context_.retryCounters.retries.fetch_add(1, std::memory_order_relaxed);
        body.rewind();
    }
}

/// Reads the whole body into memory, or buffers a part of it and reserves one of the service's streams for the rest.
/// Returns false when neither memory nor a stream became free in time.
bool Forwarding::readBody(BufferedBody &body)
{
    const Base::MonotonicMs end = context_.clock.monotonic() + service_.progressTimeoutMs;
    while (true) {
        body.readAhead();
        if (body.isComplete() || body.isBroken() || body.exceedsLimit()) {
            return true;
        }
        streaming_ = context_.streams.tryAcquire(service_.name, context_.router.maxStreams(service_.name));
        if (streaming_) {
            return true;
        }
        if (context_.clock.monotonic() >= end) {
            return false;
        }
        Poco::Thread::sleep(bufferPollMs);
    }
}

/// Makes one attempt, or two that race. Returns true when the caller was answered or has disconnected.
bool Forwarding::attemptOnce(BufferedBody &body)
{
    const Base::MonotonicMs wait = std::min(service_.queueWaitMs, deadline_ - context_.clock.monotonic());
    auto acquired = context_.router.acquire(service_.name, excluded_, wait);
    if (const auto *refusal = std::get_if<Steering::RoutingFailure>(&acquired)) {
        rejectWithoutRoute(*refusal);
        return true;
    }
    UpstreamAttempt attempt(context_.router, context_.pool, std::get<ServerReservation>(std::move(acquired)), service_.cancelMs);
    ++attempts_;
    return runAttempt(attempt, body);
}

void Forwarding::rejectWithoutRoute(Steering::RoutingFailure refusal)
{
    if (lastFailure_) {
        reject(*lastFailure_);
        return;
    }
    switch (refusal) {
    case Steering::RoutingFailure::NoPlace:
        reject({ProblemKind::NoPlace, ExecutionState::NotExecuted});
        return;
    case Steering::RoutingFailure::NoSlot:
        reject({ProblemKind::NotReady, ExecutionState::NotExecuted});
        return;
    case Steering::RoutingFailure::NoHeadroom:
        reject({ProblemKind::NoHeadroom, ExecutionState::NotExecuted});
        return;
    }
}

bool Forwarding::runAttempt(UpstreamAttempt &attempt, BufferedBody &body)
{
    const ServerReservation &route = attempt.route();
    place_ = route.place;
    if (!attempt.connect(connectionUse())) {
        route.load->observeFailure(context_.clock.monotonic(), connectFailurePauseMs);
        return retryOrFail(route, {ProblemKind::UpstreamUnreachable, ExecutionState::NotExecuted}, true, RetryCost::Free);
    }
    // The process may have been paused since the upstream was selected, so the conditions for sending are checked again.
    if (context_.clock.monotonic() >= deadline_) {
        reject({ProblemKind::DeadlineBeforeSend, ExecutionState::NotExecuted});
        return true;
    }
    // A request that was read late may have lost its caller.
    if (exchange_.isCallerDisconnected()) {
        return handleResult(AttemptResult::CallerDisconnected, attempt, body);
    }
    if (!context_.router.mayStillSend(route)) {
        return retryOrFail(route, {ProblemKind::NoHeadroom, ExecutionState::NotExecuted}, true, RetryCost::Free);
    }
    AttemptResult result = send(attempt, body);
    if (result == AttemptResult::Pending && mayHedge(body)) {
        result = attempt.exchange().await(service_.hedgeAfterMs);
        const std::unique_ptr<UpstreamAttempt> second = result == AttemptResult::Pending ? startHedge(attempt, body) : nullptr;
        if (second) {
            return finishRace(attempt, *second, body);
        }
    }
    if (result == AttemptResult::Pending || result == AttemptResult::Answered) {
        result = attempt.exchange().finish();
    }
    recordResult(result, attempt);
    return handleResult(result, attempt, body);
}

Upstreams::ConnectionUse Forwarding::connectionUse() const
{
    const bool mayReuse = idempotent_ && !noAnswerSeen_;
    return mayReuse ? Upstreams::ConnectionUse::ReuseIdle : Upstreams::ConnectionUse::Fresh;
}

AttemptResult Forwarding::send(UpstreamAttempt &attempt, BufferedBody &body)
{
    // A reused connection may be dead although the server is healthy, so the wait for its first byte is limited. A slow
    // server looks the same, so the next attempt uses up retry budget.
    const std::int64_t firstByteMs = attempt.isReused() ? service_.progressTimeoutMs : INT64_MAX;
    Exchange &exchange = attempt.begin(context_.clock, {deadline_, service_.progressTimeoutMs, firstByteMs}, hooks(attempt.route()));
    return exchange.send(outgoing(), body);
}

Upstreams::AttemptHooks Forwarding::hooks(const ServerReservation &route)
{
    Upstreams::AttemptHooks hooks;
    hooks.isCallerDisconnected = [this] { return exchange_.isCallerDisconnected(); };
    if (route.uploadLink) {
        hooks.paceUpload = [this, link = route.uploadLink](std::size_t bytes) { pace(*link, bytes); };
    }
    return hooks;
}

void Forwarding::pace(Steering::LinkPacer &link, std::size_t bytes) const
{
    const Base::MonotonicMs wait = link.reserve(static_cast<std::int64_t>(bytes), context_.clock.monotonic());
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

/// Updates the load record of the attempt's server and the connection pool. Called once for each attempt.
void Forwarding::recordResult(AttemptResult result, const UpstreamAttempt &attempt)
{
    const Base::MonotonicMs now = context_.clock.monotonic();
    const ServerReservation &route = attempt.route();
    if (result == AttemptResult::Answered || result == AttemptResult::Rejected) {
        route.load->observeAnswer(now);
        if (attempt.exchange().announcesLeaving()) {
            route.load->observeLeaving(now, leavingValidMs);
        }
    }
    if (result == AttemptResult::Rejected) {
        route.load->observeShed(now, loadSheddingPauseMs);
        attempt.exchange().discardAnswerBody();
    }
    if (result == AttemptResult::NoAnswer) {
        noAnswerSeen_ = true;
        if (!attempt.isReused()) {
            route.load->observeFailure(now, noAnswerPauseMs);
        }
    }
    if (result == AttemptResult::NoAnswer || result == AttemptResult::DeadlinePassed) {
        context_.pool.closeIdle(route.server.id);
    }
}

/// Answers the caller according to the result of an attempt. Returns false when another attempt is to follow.
bool Forwarding::handleResult(AttemptResult result, UpstreamAttempt &attempt, BufferedBody &body)
{
    const ServerReservation &route = attempt.route();
    switch (result) {
    case AttemptResult::Answered:
        return relayAnswer(attempt, body);
    case AttemptResult::Rejected:
        return retryOrFail(route, {ProblemKind::UpstreamRefused, ExecutionState::NotExecuted}, body.isComplete());
    case AttemptResult::Pending:
    case AttemptResult::NoAnswer:
        return retryOrFail(route, {ProblemKind::UpstreamNoAnswer, ExecutionState::Unknown}, idempotent_ && body.isComplete());
    case AttemptResult::CallerBodyTruncated:
        if (body.exceedsLimit()) {
            reject({ProblemKind::BodyTooLarge, ExecutionState::Unknown});
        } else {
            rejectBrokenBody(ExecutionState::Unknown);
        }
        return true;
    case AttemptResult::CallerDisconnected:
        exchange_.abort();
        record(RequestOutcome::Failed);
        return true;
    case AttemptResult::DeadlinePassed:
        reject({ProblemKind::DeadlineAfterSend, ExecutionState::Unknown});
        return true;
    }
    return true;
}

/// Decides whether another attempt follows. @p retryable: whether the request may be sent again at all.
/// Returns false when another attempt is to follow; otherwise answers with @p failure and returns true.
bool Forwarding::retryOrFail(const ServerReservation &route, const Problem &failure, bool retryable, RetryCost cost)
{
    // After an attempt with an unknown outcome, a later rejection no longer proves that the request was not executed.
    const ExecutionState run = lastFailure_ && lastFailure_->run == ExecutionState::Unknown ? ExecutionState::Unknown : failure.run;
    lastFailure_ = Problem{failure.kind, run};
    excluded_.push_back(route.server.id);
    const bool allowed = retryable && attempts_ < service_.maxAttempts && context_.clock.monotonic() < deadline_;
    if (allowed && (cost == RetryCost::Free || retryBudget_.trySpend())) {
        return false;
    }
    reject(*lastFailure_);
    return true;
}

bool Forwarding::relayAnswer(UpstreamAttempt &attempt, BufferedBody &body)
{
    const ServerReservation &route = attempt.route();
    Exchange &exchange = attempt.exchange();
    Http::BodyReader &answer = exchange.answerBody();
    if (answer.framing() == Http::Framing::UntilClose) {
        // The end of such a body cannot be distinguished from truncation.
        return retryOrFail(route, {ProblemKind::UpstreamNoAnswer, ExecutionState::Unknown}, idempotent_ && body.isComplete());
    }
    std::array<char, copyBufferBytes> buffer;
    std::size_t count = answer.read(buffer.data(), buffer.size());
    if (answer.state() == Http::BodyState::Incomplete) {
        context_.pool.closeIdle(route.server.id);
        return retryOrFail(route, {ProblemKind::UpstreamNoAnswer, ExecutionState::Unknown}, idempotent_ && body.isComplete());
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
        if (answer.state() == Http::BodyState::Incomplete || !out.good() || context_.clock.monotonic() >= deadline_) {
            // Closing the connection lets the caller detect that the body is truncated.
            exchange_.abort();
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

void Forwarding::rejectBrokenBody(ExecutionState run)
{
    const bool stalled = !exchange_.isCallerDisconnected();
    reject({stalled ? ProblemKind::CallerStalled : ProblemKind::BodyTruncated, run});
}

void Forwarding::reject(const Problem &problem)
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
