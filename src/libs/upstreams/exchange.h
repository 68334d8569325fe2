#pragma once

#include "upstreamsession.h"

#include <base/clock.h>
#include <http/bodyreader.h>
#include <http/headers.h>

#include <Poco/Net/HTTPResponse.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Wasabistair::Upstreams {

/// Source of the request body for one attempt.
class RequestBody
{
public:
    virtual ~RequestBody() = default;

    [[nodiscard]] virtual Http::Framing framing() const = 0;
    /// Declared length; FixedLength only.
    [[nodiscard]] virtual std::int64_t length() const = 0;
    /// Reads up to @p size bytes and returns their number; 0 at the end or on failure. Check state() afterwards.
    virtual std::size_t read(char *buffer, std::size_t size) = 0;
    [[nodiscard]] virtual Http::BodyState state() const = 0;
};

struct OutgoingRequest {
    std::string method;
    std::string target;
    Http::HeaderList headers;
};

enum class AttemptResult {
    /// The head of an answer arrived; the body can be read.
    Answered,
    /// The server rejected the request before execution (503 or 429 with the refusal header).
    Rejected,
    /// The connection broke or timed out before an answer arrived: outcome unknown.
    NoAnswer,
    /// The caller's request body could not be read to its end: outcome unknown.
    CallerBodyTruncated,
    /// The caller closed its connection; the connection to the server was closed to cancel the request.
    CallerDisconnected,
    /// The deadline passed while waiting: outcome unknown.
    DeadlinePassed,
    /// The request was sent in full, or the server started to answer early; the answer has not been read yet.
    Pending,
};

/// Limits of one attempt. The deadline is in monotonic milliseconds.
struct AttemptLimits {
    Base::MonotonicMs deadline = 0;
    std::int64_t progressTimeoutMs = 0;
    /// Longest wait for the first byte of the answer; the deadline applies in any case.
    std::int64_t firstByteTimeoutMs = INT64_MAX;
};

/// Callbacks of one attempt; each may be empty.
struct AttemptHooks {
    /// Returns true when the caller has closed its connection.
    std::function<bool()> isCallerDisconnected;
    /// Called with the number of bytes before they are sent over a rate-limited link; may block.
    std::function<void(std::size_t)> paceUpload;
};

/// Sends one request over one session and reads the head of the answer. Every result other than Pending, Answered and
/// Rejected closes the connection, which cancels the request.
class Exchange
{
public:
    Exchange(UpstreamSession &session, const Base::Clock &clock, AttemptLimits limits, AttemptHooks hooks);

    /// Sends the request with its body. Returns Pending, or the reason why it could not be sent.
    AttemptResult send(const OutgoingRequest &request, RequestBody &body);
    /// Waits up to @p waitMs for the first byte of the answer. Returns Answered once it can be read, Pending if none came.
    AttemptResult await(std::int64_t waitMs);
    /// Reads the head of the answer after await() returned Answered. Returns Answered, Rejected or NoAnswer.
    AttemptResult readAnswer();
    /// Waits for the answer as long as the limits allow, and reads its head.
    AttemptResult finish();
    /// Waits up to @p waitMs until one of @p exchanges, all of them Pending, may be readable.
    static void awaitAny(const std::vector<Exchange *> &exchanges, std::int64_t waitMs);
    [[nodiscard]] const Poco::Net::HTTPResponse &response() const;
    /// Body of the answer; only after Answered or Rejected.
    [[nodiscard]] Http::BodyReader &answerBody();
    /// Reads the rest of the answer's body, after which the connection can be reused. Leaves a body unread that is larger than 64 KiB or
    /// doesn't end before the deadline.
    void discardAnswerBody();
    /// Whether the request was sent in full and its answer was read to the end, so that the server has finished with it.
    [[nodiscard]] bool isComplete() const;
    /// Whether the connection may serve another request: the exchange is complete and the server keeps the connection open.
    [[nodiscard]] bool isReusable() const;
    /// Whether the server announced in its answer that it is leaving.
    [[nodiscard]] bool announcesLeaving() const;

private:
    [[nodiscard]] std::int64_t remainingMs() const;
    [[nodiscard]] int stepTimeoutMs() const;
    AttemptResult sendAll(const OutgoingRequest &request, RequestBody &body);
    AttemptResult sendBody(std::ostream &out, RequestBody &body);
    AttemptResult awaitFirstByte(std::int64_t waitMs);
    AttemptResult readHead();
    /// Runs one operation; closes the connection unless the exchange may go on.
    template<typename F>
    AttemptResult step(F &&operation);

    UpstreamSession &session_;
    const Base::Clock &clock_;
    const AttemptLimits limits_;
    const AttemptHooks hooks_;
    Poco::Net::HTTPResponse response_;
    std::unique_ptr<Http::BodyReader> answerBody_;
    std::string method_;
    Base::MonotonicMs sentAt_ = 0;
    bool bodySent_ = false;
};

/// Header by which an upstream reports that it rejected a request before execution: "Upstream-Run: refused".
extern const std::string upstreamRunHeader;
/// Header by which an upstream announces its state: "Upstream-State: leaving".
extern const std::string upstreamStateHeader;

} // namespace Wasabistair::Upstreams
