#include "exchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>

#include <algorithm>
#include <array>

namespace Wasabistair::Upstreams {

namespace {

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

constexpr std::size_t copyBufferBytes = 32 * 1024;
constexpr std::int64_t maxDiscardedBytes = 64 * 1024;
constexpr int callerCheckIntervalMs = 20;
constexpr int firstFinalStatus = 200;

bool isRefusalStatus(int status)
{
    return status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE || status == HTTPResponse::HTTP_TOO_MANY_REQUESTS;
}

Http::Framing answerFraming(const std::string &method, const HTTPResponse &response)
{
    const int status = response.getStatus();
    const bool bodyless = method == HTTPRequest::HTTP_HEAD || status == HTTPResponse::HTTP_NO_CONTENT || status == HTTPResponse::HTTP_NOT_MODIFIED;
    if (bodyless) {
        return Http::Framing::None;
    }
    if (response.getChunkedTransferEncoding()) {
        return Http::Framing::Chunked;
    }
    return response.hasContentLength() ? Http::Framing::FixedLength : Http::Framing::UntilClose;
}

/// Whether the framing of @p response is ambiguous or malformed.
bool isAmbiguous(const HTTPResponse &response)
{
    const auto lengths = Http::headerValues(response, HTTPResponse::CONTENT_LENGTH);
    const auto encodings = Http::headerValues(response, HTTPResponse::TRANSFER_ENCODING);
    const bool digits = lengths.empty() || std::all_of(lengths.front().begin(), lengths.front().end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    return lengths.size() > 1 || encodings.size() > 1 || (!lengths.empty() && !encodings.empty()) || !digits
        || (!encodings.empty() && !response.getChunkedTransferEncoding());
}

} // namespace

const std::string upstreamRunHeader = "Upstream-Run";
const std::string upstreamStateHeader = "Upstream-State";

Exchange::Exchange(UpstreamSession &session, const Base::Clock &clock, AttemptLimits limits, AttemptHooks hooks)
    : session_(session)
    , clock_(clock)
    , limits_(limits)
    , hooks_(std::move(hooks))
{}

const HTTPResponse &Exchange::response() const
{
    return response_;
}

Http::BodyReader &Exchange::answerBody()
{
    return *answerBody_;
}

void Exchange::discardAnswerBody()
{
    std::array<char, copyBufferBytes> buffer;
    while (answerBody_->state() == Http::BodyState::NeedsMore && answerBody_->bytesRead() < maxDiscardedBytes && remainingMs() > 0) {
        answerBody_->read(buffer.data(), buffer.size());
    }
}

std::int64_t Exchange::remainingMs() const
{
    return limits_.deadline - clock_.monotonic();
}

int Exchange::stepTimeoutMs() const
{
    return static_cast<int>(std::clamp<std::int64_t>(remainingMs(), 1, limits_.progressTimeoutMs));
}

template<typename F>
AttemptResult Exchange::step(F &&operation)
{
    AttemptResult result = AttemptResult::NoAnswer;
    try {
        result = operation();
    } catch (const Poco::Exception &) {
        result = AttemptResult::NoAnswer;
    }
    if (result != AttemptResult::Pending && result != AttemptResult::Answered && result != AttemptResult::Rejected) {
        // POCO's chunked stream writes a valid last chunk when it is destroyed; closing the socket prevents that.
        session_.abandon();
    }
    return result;
}

AttemptResult Exchange::send(const OutgoingRequest &request, RequestBody &body)
{
    return step([&] { return sendAll(request, body); });
}

AttemptResult Exchange::await(std::int64_t waitMs)
{
    return step([&] { return awaitFirstByte(waitMs); });
}

AttemptResult Exchange::readAnswer()
{
    return step([&] { return readHead(); });
}

AttemptResult Exchange::finish()
{
    const AttemptResult awaited = await(INT64_MAX);
    return awaited == AttemptResult::Answered ? readAnswer() : awaited;
}

void Exchange::awaitAny(const std::vector<Exchange *> &exchanges, std::int64_t waitMs)
{
    Poco::Net::Socket::SocketList readable;
    for (const Exchange *exchange : exchanges) {
        readable.push_back(exchange->session_.socket());
    }
    Poco::Net::Socket::SocketList none;
    try {
        Poco::Net::Socket::select(readable, none, none, Poco::Timespan(waitMs * Poco::Timespan::MILLISECONDS));
    } catch (const Poco::Exception &) {
        // The next await() on the broken connection reports the error.
        return;
    }
}

AttemptResult Exchange::sendAll(const OutgoingRequest &request, RequestBody &body)
{
    method_ = request.method;
    HTTPRequest head(request.method, request.target, HTTPRequest::HTTP_1_1);
    for (const auto &[name, value] : request.headers) {
        head.add(name, value);
    }
    head.set(Http::deadlineHeader, std::to_string(std::max<std::int64_t>(1, remainingMs())));
    if (body.framing() == Http::Framing::Chunked) {
        head.setChunkedTransferEncoding(true);
    } else {
        head.setContentLength64(body.framing() == Http::Framing::FixedLength ? body.length() : 0);
    }
    session_.setTimeouts(stepTimeoutMs(), stepTimeoutMs());
    std::ostream &out = session_.sendRequest(head);
    const AttemptResult sent = sendBody(out, body);
    sentAt_ = clock_.monotonic();
    return sent;
}

AttemptResult Exchange::sendBody(std::ostream &out, RequestBody &body)
{
    std::array<char, copyBufferBytes> buffer;
    while (body.state() == Http::BodyState::NeedsMore) {
        const std::size_t count = body.read(buffer.data(), buffer.size());
        if (body.state() == Http::BodyState::Incomplete) {
            return AttemptResult::CallerBodyTruncated;
        }
        if (remainingMs() <= 0) {
            return AttemptResult::DeadlinePassed;
        }
        if (hooks_.paceUpload && count > 0) {
            hooks_.paceUpload(count);
        }
        out.write(buffer.data(), static_cast<std::streamsize>(count));
        const bool answersEarly = body.state() == Http::BodyState::NeedsMore && session_.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
        if (!out.good() || answersEarly) {
            // Reading the answer would end a chunked stream with a valid last chunk, and the truncated body would seem complete.
            return body.framing() == Http::Framing::Chunked ? AttemptResult::NoAnswer : AttemptResult::Pending;
        }
    }
    if (body.state() == Http::BodyState::Incomplete) {
        return AttemptResult::CallerBodyTruncated;
    }
    bodySent_ = out.good();
    // Ends the stream; out must not be used afterwards.
    session_.flushRequest();
    return AttemptResult::Pending;
}

AttemptResult Exchange::awaitFirstByte(std::int64_t waitMs)
{
    const Base::MonotonicMs start = clock_.monotonic();
    while (true) {
        const std::int64_t left = remainingMs();
        if (left <= 0) {
            return AttemptResult::DeadlinePassed;
        }
        if (clock_.monotonic() - sentAt_ >= limits_.firstByteTimeoutMs) {
            return AttemptResult::NoAnswer;
        }
        const std::int64_t waitLeft = waitMs - (clock_.monotonic() - start);
        const auto slice = std::clamp<std::int64_t>(std::min(left, waitLeft), 0, callerCheckIntervalMs);
        if (session_.unreadBytes() > 0 || session_.socket().poll(Poco::Timespan(slice * Poco::Timespan::MILLISECONDS), Poco::Net::Socket::SELECT_READ)) {
            return AttemptResult::Answered;
        }
        if (hooks_.isCallerDisconnected && hooks_.isCallerDisconnected()) {
            return AttemptResult::CallerDisconnected;
        }
        if (waitLeft <= 0) {
            return AttemptResult::Pending;
        }
    }
}

AttemptResult Exchange::readHead()
{
    session_.setTimeouts(stepTimeoutMs(), stepTimeoutMs());
    std::istream &in = session_.receiveHead(response_, limits_.deadline);
    if (response_.getStatus() < firstFinalStatus || isAmbiguous(response_)) {
        return AttemptResult::NoAnswer;
    }
    const Http::Framing framing = answerFraming(method_, response_);
    const std::int64_t length = framing == Http::Framing::FixedLength ? response_.getContentLength64() : 0;
    answerBody_ = std::make_unique<Http::BodyReader>(in, session_.recording(), framing, length, [this] { return session_.unreadBytes(); });
    const bool refused = isRefusalStatus(response_.getStatus()) && response_.get(upstreamRunHeader, "") == "refused";
    return refused ? AttemptResult::Rejected : AttemptResult::Answered;
}

bool Exchange::isComplete() const
{
    return bodySent_ && answerBody_ && answerBody_->state() == Http::BodyState::Complete;
}

bool Exchange::isReusable() const
{
    return isComplete() && response_.getKeepAlive() && session_.unreadBytes() == 0;
}

bool Exchange::announcesLeaving() const
{
    return response_.get(upstreamStateHeader, "") == "leaving";
}

} // namespace Wasabistair::Upstreams
