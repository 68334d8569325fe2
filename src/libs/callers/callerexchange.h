#pragma once

#include "problem.h"
#include "requestcheck.h"

#include <base/clock.h>
#include <http/bodyreader.h>
#include <http/headers.h>

#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Wasabistair::Callers {

/// One request of a caller and its answer.
class CallerExchange
{
public:
    /// @p unreadBytes returns how many received bytes the HTTP session still holds.
    CallerExchange(Poco::Net::HTTPServerRequestImpl &request, Poco::Net::HTTPServerResponseImpl &response, Http::RecordingSocketImpl &socket,
        const Base::Clock &clock, std::function<int()> unreadBytes);

    [[nodiscard]] const Poco::Net::HTTPRequest &request() const;
    [[nodiscard]] std::string callerAddress() const;
    [[nodiscard]] const Http::BodyFraming &framing() const;
    /// Body of the request. The first call answers "Expect: 100-continue".
    [[nodiscard]] Http::BodyReader &body();
    /// Makes each read of the body fail when no byte arrives for @p milliseconds, or once @p deadline (monotonic) has passed.
    void setBodyTimeouts(std::int64_t milliseconds, Base::MonotonicMs deadline);
    /// Restarts the timeout between two reads of the body; the body's total deadline stays.
    void extendBodyDeadline();
    /// Whether the caller has closed its connection or the connection is broken.
    [[nodiscard]] bool isCallerDisconnected();

    /// Sends an answer with a complete body.
    void answer(int status, const std::string &contentType, const std::string &body, const Http::HeaderList &headers = {});
    void answer(const Problem &problem);
    /// Sends the head of an answer and returns the stream for its body; @p length below 0 selects chunked encoding.
    std::ostream &startAnswer(int status, const std::string &reason, const Http::HeaderList &headers, std::int64_t length, bool hasBody);
    /// Closes the connection at once, so that the caller recognizes a started answer as truncated.
    void abort();
    [[nodiscard]] bool isAborted() const;
    /// True when another request may follow on the connection: the request's body was read to its end and the exchange was not aborted.
    [[nodiscard]] bool isConnectionReusable() const;

private:
    Poco::Net::HTTPServerRequestImpl &request_;
    Poco::Net::HTTPServerResponseImpl &response_;
    Http::RecordingSocketImpl &socket_;
    const Base::Clock &clock_;
    const Http::BodyFraming framing_;
    const std::function<int()> unreadBytes_;
    std::unique_ptr<Http::BodyReader> body_;
    std::int64_t progressTimeoutMs_ = 0;
    Base::MonotonicMs bodyDeadline_ = 0;
    bool aborted_ = false;
    bool pipelined_ = false;
};

} // namespace Wasabistair::Callers
