#include "callersession.h"

#include <base/log.h>
#include <http/messagehead.h>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberFormatter.h>

namespace Wasabistair::Callers {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

// An answer that is ready is delivered also when it is late; a caller that takes nothing for this long is gone.
constexpr std::int64_t answerTimeoutMs = 10'000;
// How long a caller that was refused before its request was read may take to read the refusal.
constexpr std::int64_t lingerMs = 1'000;
// Bodies up to this size go out with their head; larger ones aren't copied for it.
constexpr std::size_t joinedBodyBytes = 16 * 1024;
constexpr double msPerSecond = 1000;
constexpr int retryAfterDecimals = 3;

/// Counts a request for as long as it is served.
class ActiveRequest
{
public:
    ActiveRequest(std::atomic<int> &active, prometheus::Gauge &gauge)
        : active_(active)
        , gauge_(gauge)
    {
        active_.fetch_add(1);
        gauge_.Increment();
    }
    ~ActiveRequest()
    {
        gauge_.Decrement();
        active_.fetch_sub(1);
    }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

private:
    std::atomic<int> &active_;
    prometheus::Gauge &gauge_;
};

int statusOf(ReadEnd end)
{
    switch (end) {
    case ReadEnd::TimedOut:
        return HTTPResponse::HTTP_REQUEST_TIMEOUT;
    case ReadEnd::HeaderTooLarge:
        return HTTPResponse::HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
    case ReadEnd::BodyTooLarge:
        return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    case ReadEnd::NoMemory:
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

/// Head of an upstream's answer for the caller.
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

HTTPResponse refusalHead(const PassResult &result)
{
    HTTPResponse response = responseWith(result.status, {});
    if (result.retryAfterMs > 0) {
        response.set("Retry-After", Poco::NumberFormatter::format(static_cast<double>(result.retryAfterMs) / msPerSecond, retryAfterDecimals));
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
        first_ = false;
    }
}

Steering::CallerLimits CallerSession::limits() const
{
    return context_.pass.roster.read([](const Steering::Roster &roster) { return roster.manifest ? roster.manifest->limits : Steering::CallerLimits(); });
}

bool CallerSession::serveOne()
{
    const Steering::CallerLimits present = limits();
    const Base::Clock &clock = context_.pass.clock;
    Base::MemoryLease memory(context_.pass.memory);
    CallerRequest request;
    const Base::MonotonicMs idleUntil = clock.monotonic() + (first_ ? present.headerTimeoutMs : present.idleTimeoutMs);
    const ReadEnd end = readRequest(stream_, present, idleUntil, clock, memory, request);
    if (end == ReadEnd::Closed) {
        return false;
    }
    const ActiveRequest active(context_.active, context_.pass.metrics.requestsInFlight());
    if (end != ReadEnd::Whole) {
        refuseUnread(end, request);
        return false;
    }
    if (isPastRefusal()) {
        // Another VM takes it at once; here it might not end before the process does.
        constexpr std::int64_t comeBackMs = 20;
        return answer(request, {PassEnd::Stopping, {}, HTTPResponse::HTTP_SERVICE_UNAVAILABLE, comeBackMs});
    }
    ReadAhead ahead(context_.pass, stream_, context_.aheadThreads);
    const PassResult result = pass(request, ahead);
    return answer(request, result, ahead.size()) && answerAhead(ahead);
}

bool CallerSession::isPastRefusal() const
{
    const Base::MonotonicMs refuseAfter = context_.refuseAfter.load(std::memory_order_relaxed);
    return refuseAfter > 0 && context_.pass.clock.monotonic() >= refuseAfter;
}

PassResult CallerSession::pass(const CallerRequest &request, ReadAhead &ahead)
{
    // What a closing answer would leave behind is not begun: it counts as not read.
    const bool goesOn = request.head.getKeepAlive() && !context_.stopping.load(std::memory_order_relaxed);
    if (goesOn && ahead.start()) {
        stream_.setOnReadable([&] {
            const bool mayStart = !context_.stopping.load(std::memory_order_relaxed);
            return mayStart && stream_.readAvailable() == Http::IoState::Ok && ahead.start();
        });
    }
    RequestPass pass(context_.pass, request, stream_);
    PassResult result = pass.run();
    stream_.setOnReadable(nullptr);
    return result;
}

bool CallerSession::answerAhead(ReadAhead &ahead)
{
    while (!ahead.isEmpty()) {
        ahead.waitForFirst(!context_.stopping.load(std::memory_order_relaxed));
        const bool goesOn = answer(ahead.firstRequest(), ahead.firstResult(), ahead.size() - 1);
        ahead.removeFirst();
        if (!goesOn) {
            return false;
        }
    }
    return true;
}

bool CallerSession::answer(const CallerRequest &request, const PassResult &result, std::size_t followers)
{
    if (result.end == PassEnd::CallerGone) {
        return false;
    }
    const bool close = !request.head.getKeepAlive() || (context_.stopping.load(std::memory_order_relaxed) && followers == 0);
    if (close && !stream_.input().empty() && context_.pass.failureLog.tryTake()) {
        Base::log(Base::LogLevel::Info, "requests-left-unread", {{"behind", request.facts.requestId}, {"bytes", stream_.input().size()}});
    }
    if (!sendAnswer(request, result, close)) {
        return false;
    }
    if (close) {
        stream_.closeGently(context_.pass.clock.monotonic() + lingerMs);
    }
    return !close;
}

bool CallerSession::sendAnswer(const CallerRequest &request, const PassResult &result, bool close)
{
    HTTPResponse head = result.end == PassEnd::Answered ? relayedHead(result.answer) : refusalHead(result);
    head.setKeepAlive(!close);
    const bool withBody = result.end == PassEnd::Answered && request.head.getMethod() != HTTPRequest::HTTP_HEAD;
    const std::string &body = result.answer.body;
    const Base::MonotonicMs deadline = context_.pass.clock.monotonic() + answerTimeoutMs;
    std::string text = Http::serialize(head);
    if (withBody && body.size() <= joinedBodyBytes) {
        text += body;
    }
    if (stream_.send(text, deadline) != Http::IoState::Ok) {
        return false;
    }
    return !withBody || body.size() <= joinedBodyBytes || stream_.send(body, deadline) == Http::IoState::Ok;
}

void CallerSession::refuseUnread(ReadEnd end, const CallerRequest &request)
{
    if (context_.pass.failureLog.tryTake()) {
        const Base::MonotonicMs now = context_.pass.clock.monotonic();
        Base::log(Base::LogLevel::Info, "request-unread",
            {{"request", request.facts.requestId}, {"cause", std::string(toString(end))}, {"status", statusOf(end)}, {"bodyBytes", request.body.size()},
                {"tookMs", now - request.arrivedAt}, {"budgetMs", request.facts.budgetMs.value_or(0)}});
    }
    constexpr std::int64_t comeBackMs = 500;
    HTTPResponse head = refusalHead({PassEnd::NotReady, {}, statusOf(end), end == ReadEnd::NoMemory ? comeBackMs : 0});
    head.setKeepAlive(false);
    const Base::MonotonicMs now = context_.pass.clock.monotonic();
    if (stream_.send(Http::serialize(head), now + lingerMs) == Http::IoState::Ok) {
        stream_.closeGently(now + lingerMs);
    }
}

} // namespace Wasabistair::Callers
