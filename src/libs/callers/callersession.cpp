#include "callersession.h"

#include "requestcheck.h"

#include <base/log.h>
#include <http/messagehead.h>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberFormatter.h>

namespace Wasabistair::Callers {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// Time to send an answer to the caller, independent of the request's deadline: a late answer is still delivered. A caller that does not take the answer in
// this time is treated as disconnected.
constexpr std::int64_t answerTimeoutMs = 10'000;
// Time to send the rejection of a request that was not read completely, and time for the caller to close after its last answer.
constexpr std::int64_t lingerTimeoutMs = 1'000;
// Bodies up to this size are sent together with their head; larger ones are sent separately to avoid a copy.
constexpr std::size_t maxCoalescedBodyBytes = 16 * 1024;
constexpr double msPerSecond = 1000;
constexpr int retryAfterDecimals = 3;

int statusFor(ReadOutcome outcome)
{
    switch (outcome) {
    case ReadOutcome::TimedOut:
        return HTTPResponse::HTTP_REQUEST_TIMEOUT;
    case ReadOutcome::HeaderTooLarge:
        return HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
    case ReadOutcome::BodyTooLarge:
        return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    case ReadOutcome::NoMemory:
        return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    default:
        return HTTPResponse::HTTP_BAD_REQUEST;
    }
}

HTTPResponse responseWith(int status, const std::string &reason)
{
    HTTPResponse response(HTTPResponse::HTTP_1_1, static_cast<HTTPResponse::HTTPStatus>(status));
    response.setReason(reason.empty() ? HTTPResponse::getReasonForStatus(response.getStatus()) : reason);
    return response;
}

/// Converts the head of an upstream's answer to the head that the caller gets.
HTTPResponse relayedHead(const Upstreams::UpstreamAnswer &answer)
{
    HTTPResponse response = responseWith(answer.status, answer.reason);
    for (const auto &[name, value] : answer.headers) {
        response.add(name, value);
    }
    const bool bodyless = answer.status == HTTPResponse::HTTP_NO_CONTENT || answer.status == HTTPResponse::HTTP_NOT_MODIFIED;
    if (!answer.declaredLength.empty()) {
        response.set(Poco::Net::HTTPMessage::CONTENT_LENGTH, answer.declaredLength);
    } else if (!bodyless) {
        response.setContentLength64(static_cast<Poco::Int64>(answer.body.size()));
    }
    return response;
}

HTTPResponse rejectionHead(const DispatchResult &result)
{
    HTTPResponse response = responseWith(result.status, {});
    if (result.retryAfterMs > 0) {
        response.set("Retry-After", Poco::NumberFormatter::format(static_cast<double>(result.retryAfterMs) / msPerSecond, retryAfterDecimals));
    }
    if (result.status == HTTPResponse::HTTP_UNAUTHORIZED) {
        // RFC 9110 requires an answer with this status to name the scheme.
        response.set("WWW-Authenticate", "Bearer");
    }
    response.setContentLength(0);
    return response;
}

} // namespace

CallerSession::CallerSession(SessionContext &context, const Poco::Net::StreamSocket &socket)
    : context_(context)
    , stream_(socket, context.pass.clock)
{}

void CallerSession::run()
{
    while (serveOne()) {
        firstRequest_ = false;
    }
}

Steering::CallerLimits CallerSession::limits() const
{
    return context_.pass.snapshot.read(
        [](const Steering::RoutingSnapshot &snapshot) { return snapshot.manifest ? snapshot.manifest->limits : Steering::CallerLimits(); });
}

bool CallerSession::serveOne()
{
    const Steering::CallerLimits callerLimits = limits();
    const Base::Clock &clock = context_.pass.clock;
    Base::MemoryReservation memory(context_.pass.memory);
    CallerRequest request;
    const Base::MonotonicMs firstByteDeadline = clock.monotonic() + (firstRequest_ ? callerLimits.headerTimeoutMs : callerLimits.idleTimeoutMs);
    const ReadOutcome outcome = readRequest(stream_, callerLimits, firstByteDeadline, clock, memory, request);
    if (outcome == ReadOutcome::Closed) {
        return false;
    }
    const RequestIntake::ActiveRequest active(context_.intake, context_.pass.metrics.requestsInFlight());
    if (outcome != ReadOutcome::Complete) {
        rejectIncomplete(outcome, request);
        return false;
    }
    if (mustReject(request)) {
        // The request might not finish before the process exits; another VM can take it at once.
        constexpr std::int64_t retryAfterMs = 20;
        return answer(request, {DispatchOutcome::Stopping, {}, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, retryAfterMs});
    }
    PipelinedRequests pipelined(context_.pass, stream_, context_.pipelineThreads);
    const DispatchResult result = pass(request, pipelined);
    return answer(request, result, pipelined.size()) && answerPipelined(pipelined);
}

bool CallerSession::mustReject(const CallerRequest &request) const
{
    if (!context_.intake.isStopping()) {
        return false;
    }
    const std::int64_t allowedMs = context_.pass.snapshot.read([&](const Steering::RoutingSnapshot &snapshot) {
        const auto *route = snapshot.manifest ? Steering::findRoute(*snapshot.manifest, requestHost(request.head), requestPath(request.head)) : nullptr;
        return maxDurationMs(request, route);
    });
    return context_.intake.mustReject(request.arrivedAt + allowedMs, context_.pass.clock.monotonic());
}

DispatchResult CallerSession::pass(const CallerRequest &request, PipelinedRequests &pipelined)
{
    // Requests behind one whose answer closes the connection are not started; they count as not read.
    const bool keepsConnection = request.head.getKeepAlive() && !context_.intake.isStopping();
    if (keepsConnection && pipelined.startAvailable()) {
        stream_.setOnReadable([&] {
            const bool mayStart = !context_.intake.isStopping();
            return mayStart && stream_.readAvailable() == Http::IoState::Ok && pipelined.startAvailable();
        });
    }
    DispatchResult result = dispatch(context_.pass, request, stream_);
    stream_.setOnReadable(nullptr);
    return result;
}

bool CallerSession::answerPipelined(PipelinedRequests &pipelined)
{
    while (!pipelined.isEmpty()) {
        pipelined.waitForFirst(!context_.intake.isStopping());
        const bool keepsConnection = answer(pipelined.firstRequest(), pipelined.firstResult(), pipelined.size() - 1);
        pipelined.removeFirst();
        if (!keepsConnection) {
            return false;
        }
    }
    return true;
}

bool CallerSession::answer(const CallerRequest &request, const DispatchResult &result, std::size_t pipelinedCount)
{
    if (result.end == DispatchOutcome::CallerDisconnected) {
        return false;
    }
    const bool close = !request.head.getKeepAlive() || (context_.intake.isStopping() && pipelinedCount == 0);
    if (close && !stream_.input().empty() && context_.pass.failureLog.tryAcquire()) {
        Base::log(Base::LogLevel::Info, "requests-left-unread", {{"behind", request.metadata.requestId}, {"bytes", stream_.input().size()}});
    }
    if (!sendAnswer(request, result, close)) {
        return false;
    }
    if (close) {
        stream_.lingeringClose(context_.pass.clock.monotonic() + lingerTimeoutMs);
    }
    return !close;
}

bool CallerSession::sendAnswer(const CallerRequest &request, const DispatchResult &result, bool close)
{
    HTTPResponse head = result.end == DispatchOutcome::Answered ? relayedHead(result.answer) : rejectionHead(result);
    head.setKeepAlive(!close);
    const bool withBody = result.end == DispatchOutcome::Answered && request.head.getMethod() != HTTPRequest::HTTP_HEAD;
    const std::string &body = result.answer.body;
    const Base::MonotonicMs deadline = context_.pass.clock.monotonic() + answerTimeoutMs;
    std::string text = Http::serialize(head);
    if (withBody && body.size() <= maxCoalescedBodyBytes) {
        text += body;
    }
    if (stream_.send(text, deadline) != Http::IoState::Ok) {
        return false;
    }
    return !withBody || body.size() <= maxCoalescedBodyBytes || stream_.send(body, deadline) == Http::IoState::Ok;
}

void CallerSession::rejectIncomplete(ReadOutcome outcome, const CallerRequest &request)
{
    if (context_.pass.failureLog.tryAcquire()) {
        const Base::MonotonicMs now = context_.pass.clock.monotonic();
        Base::log(Base::LogLevel::Info, "request-unread",
            {{"request", request.metadata.requestId}, {"cause", std::string(toString(outcome))}, {"status", statusFor(outcome)},
                {"bodyBytes", request.body.size()}, {"tookMs", now - request.arrivedAt}, {"budgetMs", request.metadata.budgetMs.value_or(0)}});
    }
    constexpr std::int64_t retryAfterMs = 500;
    HTTPResponse head = rejectionHead({DispatchOutcome::NotReady, {}, statusFor(outcome), outcome == ReadOutcome::NoMemory ? retryAfterMs : 0});
    head.setKeepAlive(false);
    const Base::MonotonicMs now = context_.pass.clock.monotonic();
    if (stream_.send(Http::serialize(head), now + lingerTimeoutMs) == Http::IoState::Ok) {
        stream_.lingeringClose(now + lingerTimeoutMs);
    }
}

} // namespace Wasabistair::Callers
