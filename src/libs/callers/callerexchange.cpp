#include "callerexchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerSession.h>

#include <algorithm>

namespace Wasabistair::Callers {

CallerExchange::CallerExchange(Poco::Net::HTTPServerRequestImpl &request, Poco::Net::HTTPServerResponseImpl &response, Http::RecordingSocketImpl &socket,
    const Base::Clock &clock, std::function<int()> unreadBytes)
    : request_(request)
    , response_(response)
    , socket_(socket)
    , clock_(clock)
    , framing_(requestFraming(request))
    , unreadBytes_(std::move(unreadBytes))
{}

const Poco::Net::HTTPRequest &CallerExchange::request() const
{
    return request_;
}

std::string CallerExchange::callerAddress() const
{
    return request_.clientAddress().host().toString();
}

const Http::BodyFraming &CallerExchange::framing() const
{
    return framing_;
}

Http::BodyReader &CallerExchange::body()
{
    if (!body_) {
        if (framing_.framing != Http::Framing::None && request_.getExpectContinue()) {
            response_.sendContinue();
        }
        body_ = std::make_unique<Http::BodyReader>(request_.stream(), socket_, framing_.framing, framing_.length, unreadBytes_);
    }
    return *body_;
}

void CallerExchange::setBodyTimeouts(std::int64_t milliseconds, Base::MonotonicMs deadline)
{
    progressTimeoutMs_ = milliseconds;
    bodyDeadline_ = deadline;
    extendBodyDeadline();
}

void CallerExchange::extendBodyDeadline()
{
    socket_.setReceiveDeadline(std::min(bodyDeadline_, clock_.monotonic() + progressTimeoutMs_));
}

bool CallerExchange::isCallerDisconnected()
{
    if (pipelined_ || unreadBytes_() > 0) {
        return false;
    }
    try {
        if (!socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            return false;
        }
        char byte = 0;
        const int count = socket_.receiveBytes(&byte, 1, MSG_PEEK | MSG_DONTWAIT);
        pipelined_ = count > 0;
        return count == 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

void CallerExchange::answer(int status, const std::string &contentType, const std::string &body, const Http::HeaderList &headers)
{
    Http::HeaderList all = headers;
    all.emplace_back("Content-Type", contentType);
    const bool head = request_.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
    std::ostream &out = startAnswer(status, "", all, static_cast<std::int64_t>(body.size()), true);
    if (!head) {
        out << body;
    }
    out.flush();
}

void CallerExchange::answer(const Problem &problem)
{
    Http::HeaderList headers = {{Http::runHeader, std::string(toString(problem.run))}};
    const int retryAfter = problemRetryAfterSeconds(problem.kind);
    if (retryAfter > 0) {
        headers.emplace_back("Retry-After", std::to_string(retryAfter));
    }
    answer(problemStatus(problem.kind), "application/problem+json", problemBody(problem), headers);
}

std::ostream &CallerExchange::startAnswer(int status, const std::string &reason, const Http::HeaderList &headers, std::int64_t length, bool hasBody)
{
    const auto code = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status);
    response_.setStatusAndReason(code, reason.empty() ? Poco::Net::HTTPResponse::getReasonForStatus(code) : reason);
    for (const auto &[name, value] : headers) {
        response_.add(name, value);
    }
    if (!hasBody) {
        // Status 204 and 304 carry neither Content-Length nor Transfer-Encoding.
        response_.setContentLength(Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH);
    } else if (length >= 0) {
        response_.setContentLength64(length);
    } else {
        response_.setChunkedTransferEncoding(true);
    }
    response_.setKeepAlive(isConnectionReusable() && request_.getKeepAlive());
    return response_.send();
}

void CallerExchange::abort()
{
    aborted_ = true;
    try {
        // Fails when the caller has already closed the connection.
        socket_.shutdown();
    } catch (const Poco::Exception &) {}
    socket_.close();
}

bool CallerExchange::isAborted() const
{
    return aborted_;
}

bool CallerExchange::isConnectionReusable() const
{
    if (aborted_) {
        return false;
    }
    return framing_.framing == Http::Framing::None || (body_ && body_->state() == Http::BodyState::Complete);
}

} // namespace Wasabistair::Callers
