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

/// Body of a request as one try sends it.
class RequestBody
{
public:
    virtual ~RequestBody() = default;

    [[nodiscard]] virtual Http::Framing framing() const = 0;
    /// Declared length; FixedLength only.
    [[nodiscard]] virtual std::int64_t length() const = 0;
    /// Next bytes; 0 at the end. Look at state() afterwards.
    virtual std::size_t read(char *buffer, std::size_t size) = 0;
    [[nodiscard]] virtual Http::BodyState state() const = 0;
};

struct OutgoingRequest {
    std::string method;
    std::string target;
    Http::HeaderList headers;
};

enum class TryResult {
    /// An answer's head arrived; its body can be read.
    Answered,
    /// The server refused before running (503 or 429 with the refusal header): not run.
    Refused,
    /// The connection ended or fell silent before an answer: outcome unknown.
    NoAnswer,
    /// The body could not be read to its end from the caller: outcome unknown.
    CallerBodyCut,
    /// The caller went away; the connection was closed to cancel.
    CallerGone,
    /// The deadline passed while waiting: outcome unknown.
    DeadlinePassed,
    /// Sent whole (or the server answers early); the answer is still to come.
    Pending,
};

/// Limits of one try; times are monotonic milliseconds.
struct TryLimits {
    Base::MonotonicMs deadline = 0;
    std::int64_t progressTimeoutMs = 0;
    /// Longest wait for the first byte of the answer; bounded by the deadline in any case.
    std::int64_t firstByteTimeoutMs = INT64_MAX;
};

/// What one try needs from its surroundings.
struct TryHooks {
    /// True when the caller has closed its connection.
    std::function<bool()> callerGone;
    /// Called before bytes are sent over a metered link; may wait.
    std::function<void(std::size_t)> paceUpload;
};

/// Sends one request over one session and reads the head of the answer. Anything but Pending, Answered and
/// Refused closes the connection, which cancels the request.
class Exchange
{
public:
    Exchange(UpstreamSession &session, const Base::Clock &clock, TryLimits limits, TryHooks hooks);

    /// Sends everything: Pending, or why it could not be sent.
    TryResult send(const OutgoingRequest &request, RequestBody &body);
    /// Waits up to @p waitMs for the answer's first byte: Answered once it can be read, Pending if it can't.
    TryResult await(std::int64_t waitMs);
    /// Reads the head of the answer after await(): Answered, Refused or NoAnswer.
    TryResult readAnswer();
    /// Waits for the answer as long as the limits allow and reads its head.
    TryResult finish();
    /// Waits up to @p waitMs until one of @p exchanges, all Pending, may have something to read.
    static void awaitAny(const std::vector<Exchange *> &exchanges, std::int64_t waitMs);
    [[nodiscard]] const Poco::Net::HTTPResponse &response() const;
    /// Body of the answer; only after Answered or Refused.
    [[nodiscard]] Http::BodyReader &answerBody();
    /// True when the request was sent whole and its answer read to its end: the server is done with it.
    [[nodiscard]] bool isOver() const;
    /// True when the connection may serve another request: everything sent, the answer read to its end.
    [[nodiscard]] bool isReusable() const;
    /// The server announced in its answer that it is leaving.
    [[nodiscard]] bool announcesLeaving() const;

private:
    [[nodiscard]] std::int64_t remainingMs() const;
    [[nodiscard]] int stepTimeoutMs() const;
    TryResult sendAll(const OutgoingRequest &request, RequestBody &body);
    TryResult sendBody(std::ostream &out, RequestBody &body);
    TryResult awaitFirstByte(std::int64_t waitMs);
    TryResult readHead();
    /// Runs one step; closes the connection unless the exchange may go on.
    template<typename F>
    TryResult step(F &&work);

    UpstreamSession &session_;
    const Base::Clock &clock_;
    const TryLimits limits_;
    const TryHooks hooks_;
    Poco::Net::HTTPResponse response_;
    std::unique_ptr<Http::BodyReader> answerBody_;
    std::string method_;
    Base::MonotonicMs sentAt_ = 0;
    bool bodySent_ = false;
};

/// Header by which an upstream says that it refused before running: "Upstream-Run: refused".
extern const std::string upstreamRunHeader;
/// Header by which an upstream announces its state: "Upstream-State: leaving".
extern const std::string upstreamStateHeader;

} // namespace Wasabistair::Upstreams
