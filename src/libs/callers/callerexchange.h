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

/// One request of a caller and the answer to it.
class CallerExchange
{
public:
    CallerExchange(Poco::Net::HTTPServerRequestImpl &request, Poco::Net::HTTPServerResponseImpl &response, Http::RecordingSocketImpl &socket,
        const Base::Clock &clock, std::function<int()> unread);

    [[nodiscard]] const Poco::Net::HTTPRequest &request() const;
    [[nodiscard]] std::string callerAddress() const;
    [[nodiscard]] const Http::BodyFrame &framing() const;
    /// Body of the request; answers "Expect: 100-continue" at the first call.
    [[nodiscard]] Http::BodyReader &body();
    /// Each read of the body fails when no byte comes for @p milliseconds, or once @p deadline (monotonic) passed.
    void limitBody(std::int64_t milliseconds, Base::MonotonicMs deadline);
    /// Extends the limit of limitBody() for the next read.
    void expectProgress();
    /// True when the caller closed its connection.
    [[nodiscard]] bool callerGone();

    /// Answers with a whole body.
    void answer(int status, const std::string &contentType, const std::string &body, const Http::HeaderList &headers = {});
    void answer(const Problem &problem);
    /// Starts an answer whose body is streamed; @p length below 0 means chunked.
    std::ostream &startAnswer(int status, const std::string &reason, const Http::HeaderList &headers, std::int64_t length, bool hasBody);
    /// Closes the connection at once, so that a started answer is visibly cut.
    void cut();
    [[nodiscard]] bool isCut() const;
    /// True when another request may follow: the body was read to its end and nothing was cut.
    [[nodiscard]] bool mayContinue() const;

private:
    Poco::Net::HTTPServerRequestImpl &request_;
    Poco::Net::HTTPServerResponseImpl &response_;
    Http::RecordingSocketImpl &socket_;
    const Base::Clock &clock_;
    const Http::BodyFrame framing_;
    const std::function<int()> unread_;
    std::unique_ptr<Http::BodyReader> body_;
    std::int64_t progressMs_ = 0;
    Base::MonotonicMs bodyDeadline_ = 0;
    bool cut_ = false;
    bool pipelined_ = false;
};

} // namespace Wasabistair::Callers
