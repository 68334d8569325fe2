#include "upstreamcall.h"

#include <Poco/String.h>

#include <algorithm>
#include <charconv>

namespace Wasabistair::Upstreams {

namespace {

// A new connection takes two network delays. Even with 70 ms between regions and one retransmission it takes far less than this.
constexpr std::int64_t connectTimeoutMs = 400;
// The kernel gives up a connection whose sent data stays unacknowledged for the first of these times, in ms. Usual route timeouts are
// 800 ms and more.
constexpr Http::TcpOptions upstreamConnectionCare{1'200, 1, 1, 2};
// Upstreams close idle connections without notice. A non-idempotent request cannot be retried when that happens, so it only
// uses connections that were idle for a short time.
constexpr std::int64_t maxIdleNonIdempotentMs = 1'500;
constexpr std::int64_t maxIdleIdempotentMs = 5'000;
// Idle timeout of connections to upstreams that send no Keep-Alive timeout.
constexpr std::int64_t defaultKeepAliveMs = 4'000;
// Fraction of the upstream's Keep-Alive timeout after which a connection is no longer used.
constexpr std::int64_t keepAliveNumerator = 3;
constexpr std::int64_t keepAliveDenominator = 5;
constexpr std::int64_t msPerSecond = 1'000;
constexpr std::size_t maxHeadBytes = 64 << 10;
// Answers are buffered completely, so that an idempotent request can be retried when an answer is truncated. An answer larger
// than 1/answerMemoryDivisor of the memory for all requests is treated as broken.
constexpr std::int64_t answerMemoryDivisor = 4;
// Interim answers (1xx) accepted before the final one; bounds the wait for upstreams that send them without end.
constexpr int maxInterimAnswers = 16;
// Answers to other requests that are skipped before the connection is closed.
constexpr int maxForeignAnswers = 2;

CallOutcome toCallEnd(Http::IoState state)
{
    switch (state) {
    case Http::IoState::TimedOut:
        return CallOutcome::TimedOut;
    case Http::IoState::Interrupted:
        return CallOutcome::CallerDisconnected;
    default:
        return CallOutcome::Broken;
    }
}

/// Returns the timeout parameter of a Keep-Alive header, in ms; 0 when there is none.
std::int64_t parseKeepAliveTimeoutMs(const std::string &keepAlive)
{
    const std::size_t at = keepAlive.find("timeout=");
    std::int64_t seconds = 0;
    if (at != std::string::npos) {
        const char *digits = keepAlive.data() + at + std::string_view("timeout=").size();
        std::from_chars(digits, keepAlive.data() + keepAlive.size(), seconds);
    }
    return seconds * msPerSecond;
}

} // namespace

std::string_view toString(CallOutcome end)
{
    switch (end) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::ConnectionRefused:
        return "connection-refused";
    case CallOutcome::ConnectionTimedOut:
        return "connection-timed-out";
    case CallOutcome::Broken:
        return "broken";
    case CallOutcome::TimedOut:
        return "timed-out";
    case CallOutcome::NoMemory:
        return "no-memory";
    case CallOutcome::CallerDisconnected:
        return "caller-gone";
    case CallOutcome::Withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

UpstreamCall::UpstreamCall(IdleConnectionPool &pool, Base::MemoryBudget &memory, const Base::Clock &clock)
    : pool_(pool)
    , memory_(memory)
    , clock_(clock)
{}

CallResult UpstreamCall::run(
    const Steering::UpstreamEntry &upstream, const ForwardedRequest &request, const Http::ByteStream &caller, Base::MonotonicMs deadline)
{
    caller_ = &caller;
    deadline_ = deadline;
    CallResult result;
    result.end = connect(upstream, request.idempotent, result.reusedConnection);
    if (result.end != CallOutcome::Answered) {
        return result;
    }
    if (!request.maySend()) {
        result.end = CallOutcome::Withdrawn;
        return result;
    }
    const std::string text = requestText(upstream, request);
    unsent_ = text;
    result.end = readAnswer(request, result.answer);
    result.answerStarted = answerStarted_;
    result.interimStatesLeaving = interimStatesLeaving_;
    if (result.end != CallOutcome::Answered) {
        // Cancels a request that the upstream is executing. A close would leave bytes that a partition holds up to the kernel, which would
        // deliver the request after it was given up.
        stream_->abort();
    } else if (reusable_ && unsent_.empty() && stream_->input().empty()) {
        pool_.put(upstream.id, std::move(stream_), keepAliveMs_);
    }
    stream_.reset();
    return result;
}

CallOutcome UpstreamCall::connect(const Steering::UpstreamEntry &upstream, bool idempotent, bool &reused)
{
    stream_ = pool_.take(upstream.id, idempotent ? maxIdleIdempotentMs : maxIdleNonIdempotentMs);
    reused = stream_ != nullptr;
    if (reused) {
        return CallOutcome::Answered;
    }
    const Base::MonotonicMs limit = std::min(deadline_, clock_.monotonic() + connectTimeoutMs);
    Http::IoState state = Http::IoState::Ok;
    stream_ = Http::connectTo({upstream.host, upstream.port}, limit, clock_, state, caller_);
    if (stream_) {
        Http::applyTcpOptions(stream_->socket(), upstreamConnectionCare);
        // The caller may have left in the same instant in which the connection was established.
        return caller_->isClosedByPeer() ? CallOutcome::CallerDisconnected : CallOutcome::Answered;
    }
    if (state == Http::IoState::Interrupted) {
        return CallOutcome::CallerDisconnected;
    }
    return state == Http::IoState::TimedOut ? CallOutcome::ConnectionTimedOut : CallOutcome::ConnectionRefused;
}

std::string UpstreamCall::requestText(const Steering::UpstreamEntry &upstream, const ForwardedRequest &request) const
{
    Poco::Net::HTTPRequest head(request.head.getMethod(), request.head.getURI(), Poco::Net::HTTPRequest::HTTP_1_1);
    const std::int64_t leftMs = std::max<std::int64_t>(1, deadline_ - clock_.monotonic());
    for (const auto &[name, value] : Adapter::upstreamHeaders(request.head, upstream.id, leftMs, request.team)) {
        head.add(name, value);
    }
    const bool hadBody = request.head.has(Poco::Net::HTTPRequest::CONTENT_LENGTH) || request.head.has(Poco::Net::HTTPRequest::TRANSFER_ENCODING);
    if (hadBody) {
        head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
    }
    return Http::serialize(head) + request.body;
}

CallOutcome UpstreamCall::receive()
{
    const Http::IoState state = stream_->exchange(unsent_, deadline_, caller_);
    answerStarted_ = answerStarted_ || !stream_->input().empty();
    return state == Http::IoState::Ok ? CallOutcome::Answered : toCallEnd(state);
}

CallOutcome UpstreamCall::readHead(Poco::Net::HTTPResponse &response)
{
    int interim = 0;
    while (interim <= maxInterimAnswers) {
        auto head = Http::takeHead(stream_->input());
        if (!head) {
            if (stream_->input().size() > maxHeadBytes) {
                return CallOutcome::Broken;
            }
            if (const CallOutcome end = receive(); end != CallOutcome::Answered) {
                return end;
            }
            continue;
        }
        response.clear();
        if (!Http::parseResponse(*head, response)) {
            return CallOutcome::Broken;
        }
        if (response.getStatus() >= Poco::Net::HTTPResponse::HTTP_OK) {
            return CallOutcome::Answered;
        }
        interimStatesLeaving_ = interimStatesLeaving_ || Adapter::statesLeaving(response);
        ++interim;
    }
    return CallOutcome::Broken;
}

CallOutcome UpstreamCall::reserveBodyMemory(UpstreamAnswer &answer) const
{
    const auto bytes = static_cast<std::int64_t>(answer.body.size());
    if (bytes > memory_.limit() / answerMemoryDivisor) {
        return CallOutcome::Broken;
    }
    if (!answer.memory) {
        answer.memory = std::make_shared<Base::MemoryReservation>(memory_);
    }
    return answer.memory->growTo(bytes) ? CallOutcome::Answered : CallOutcome::NoMemory;
}

CallOutcome UpstreamCall::readBody(const Http::BodyFraming &frame, UpstreamAnswer &answer)
{
    Http::BodyDecoder decoder(frame);
    while (true) {
        const Http::BodyState state = decoder.feed(stream_->input(), answer.body);
        if (const CallOutcome held = reserveBodyMemory(answer); held != CallOutcome::Answered) {
            return held;
        }
        if (state == Http::BodyState::Complete) {
            return CallOutcome::Answered;
        }
        if (state == Http::BodyState::Incomplete) {
            return CallOutcome::Broken;
        }
        const Http::IoState io = stream_->exchange(unsent_, deadline_, caller_);
        if (io == Http::IoState::Closed) {
            // An answer without a length that ends before the upstream has received the whole request may have broken off.
            const bool wasReceived = unsent_.empty() && !stream_->hasUnacknowledgedBytes();
            return wasReceived && decoder.end() == Http::BodyState::Complete ? CallOutcome::Answered : CallOutcome::Broken;
        }
        if (io != Http::IoState::Ok) {
            return toCallEnd(io);
        }
    }
}

CallOutcome UpstreamCall::readAnswer(const ForwardedRequest &request, UpstreamAnswer &answer)
{
    for (int foreign = 0; foreign <= maxForeignAnswers; ++foreign) {
        Poco::Net::HTTPResponse response;
        if (const CallOutcome end = readHead(response); end != CallOutcome::Answered) {
            return end;
        }
        const auto frame = Http::responseFraming(request.head.getMethod(), response);
        if (!frame) {
            return CallOutcome::Broken;
        }
        answer.metadata = Adapter::decodeAnswerMetadata(response);
        answer.body.clear();
        if (const CallOutcome end = readBody(*frame, answer); end != CallOutcome::Answered) {
            return end;
        }
        const bool endsWithConnection = frame->framing == Http::Framing::UntilClose;
        if (answer.metadata.requestId != request.requestId) {
            // Upstreams repeat the request's id, so an answer without one can't be attributed to any request.
            if (endsWithConnection || answer.metadata.requestId.empty()) {
                return CallOutcome::Broken;
            }
            continue;
        }
        answer.status = response.getStatus();
        answer.reason = response.getReason();
        answer.headers = Http::endToEndHeaders(response);
        if (frame->framing == Http::Framing::None) {
            answer.declaredLength = response.get(Poco::Net::HTTPMessage::CONTENT_LENGTH, "");
        }
        updateReuse(response, endsWithConnection);
        return CallOutcome::Answered;
    }
    return CallOutcome::Broken;
}

void UpstreamCall::updateReuse(const Poco::Net::HTTPResponse &response, bool endsWithConnection)
{
    reusable_ = !endsWithConnection && response.getKeepAlive();
    const std::int64_t timeoutMs = parseKeepAliveTimeoutMs(response.get("Keep-Alive", ""));
    keepAliveMs_ = timeoutMs > 0 ? timeoutMs * keepAliveNumerator / keepAliveDenominator : defaultKeepAliveMs;
}

} // namespace Wasabistair::Upstreams
