#pragma once

#include "idleconnectionpool.h"

#include <base/memorybudget.h>
#include <http/messagehead.h>
#include <platform/messages.h>
#include <steering/routingsnapshot.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Wasabistair::Upstreams {

/// A caller's request to be forwarded to an upstream.
struct ForwardedRequest {
    const Poco::Net::HTTPRequest &head;
    const std::string &body;
    const std::string &requestId;
    bool idempotent = false;
    /// Asked immediately before the first byte is sent; if it returns false, nothing is sent.
    std::function<bool()> maySend;
    Adapter::TeamStatement team = {};
};

/// A complete answer of an upstream.
struct UpstreamAnswer {
    int status = 0;
    std::string reason;
    Http::HeaderList headers;
    std::string body;
    /// Value of the Content-Length header when the answer has no body (HEAD); empty otherwise.
    std::string declaredLength;
    Adapter::AnswerMetadata metadata;
    /// Memory reserved for the body in the process's budget; released with the last copy of the answer.
    std::shared_ptr<Base::MemoryReservation> memory;

    bool operator==(const UpstreamAnswer &) const = default;
};

enum class CallOutcome {
    Answered,
    /// The connection was refused; nothing was sent.
    ConnectionRefused,
    /// The connection attempt timed out; nothing was sent.
    ConnectionTimedOut,
    /// Sent, but the connection broke or no valid, complete answer to this request arrived.
    Broken,
    /// Sent, but no complete answer arrived before the deadline.
    TimedOut,
    /// Sent, but this VM has no memory left for the answer. Says nothing about the upstream.
    NoMemory,
    /// The caller closed its connection.
    CallerDisconnected,
    /// ForwardedRequest::maySend forbade it; nothing was sent.
    Withdrawn,
};

[[nodiscard]] std::string_view toString(CallOutcome end);

struct CallResult {
    CallOutcome end = CallOutcome::Broken;
    /// Complete when end is Answered. Otherwise its metadata may still tell what a head stated whose body broke off.
    UpstreamAnswer answer;
    /// Whether an interim answer (1xx) stated that the upstream leaves.
    bool interimStatesLeaving = false;
    bool reusedConnection = false;
    /// Whether any bytes of an answer arrived.
    bool answerStarted = false;

    bool operator==(const CallResult &) const = default;
};

/// Sends one request to one upstream and reads the complete answer.
class UpstreamCall
{
public:
    UpstreamCall(IdleConnectionPool &pool, Base::MemoryBudget &memory, const Base::Clock &clock);

    /// Returns at @p deadline at the latest, and early when @p caller closes its connection.
    [[nodiscard]] CallResult run(
        const Steering::UpstreamEntry &upstream, const ForwardedRequest &request, const Http::ByteStream &caller, Base::MonotonicMs deadline);

private:
    [[nodiscard]] CallOutcome connect(const Steering::UpstreamEntry &upstream, bool idempotent, bool &reused);
    [[nodiscard]] std::string requestText(const Steering::UpstreamEntry &upstream, const ForwardedRequest &request) const;
    [[nodiscard]] CallOutcome readAnswer(const ForwardedRequest &request, UpstreamAnswer &answer);
    [[nodiscard]] CallOutcome readHead(Poco::Net::HTTPResponse &response);
    [[nodiscard]] CallOutcome readBody(const Http::BodyFraming &frame, UpstreamAnswer &answer);
    /// Reserves memory for the body of @p answer; returns Answered on success.
    [[nodiscard]] CallOutcome reserveBodyMemory(UpstreamAnswer &answer) const;
    [[nodiscard]] CallOutcome receive();
    void updateReuse(const Poco::Net::HTTPResponse &response, bool endsWithConnection);

    IdleConnectionPool &pool_;
    Base::MemoryBudget &memory_;
    const Base::Clock &clock_;
    std::unique_ptr<Http::ByteStream> stream_;
    std::string_view unsent_;
    const Http::ByteStream *caller_ = nullptr;
    Base::MonotonicMs deadline_ = 0;
    bool reusable_ = false;
    bool answerStarted_ = false;
    bool interimStatesLeaving_ = false;
    std::int64_t keepAliveMs_ = 0;
};

} // namespace Wasabistair::Upstreams
