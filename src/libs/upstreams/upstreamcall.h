#pragma once

#include "channelpool.h"

#include <base/memorybudget.h>
#include <http/messagehead.h>
#include <platform/messages.h>
#include <steering/roster.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Wasabistair::Upstreams {

/// One caller's request as it goes to upstreams.
struct ForwardedRequest {
    const Poco::Net::HTTPRequest &head;
    const std::string &body;
    const std::string &requestId;
    bool idempotent = false;
};

/// A whole answer of an upstream.
struct UpstreamAnswer {
    int status = 0;
    std::string reason;
    Http::HeaderList headers;
    std::string body;
    /// Value of the length header when the answer has no body of its own (HEAD); empty otherwise.
    std::string declaredLength;
    Adapter::AnswerFacts facts;
    /// Memory that the body takes from the process's budget, for as long as any copy of the answer lives.
    std::shared_ptr<Base::MemoryLease> memory;

    bool operator==(const UpstreamAnswer &) const = default;
};

enum class CallEnd {
    Answered,
    /// Nothing was sent: the address refused the connection.
    ConnectionRefused,
    /// Nothing was sent: no connection in time.
    ConnectionTimedOut,
    /// Sent; the connection broke, or what came is no whole answer to this request.
    Broken,
    /// Sent; no whole answer until the deadline.
    TimedOut,
    /// Sent; this VM has no memory left for the answer. Says nothing about the upstream.
    NoMemory,
    /// The caller closed its connection.
    CallerGone,
};

[[nodiscard]] std::string_view toString(CallEnd end);

struct CallResult {
    CallEnd end = CallEnd::Broken;
    /// Set when end is Answered.
    UpstreamAnswer answer;
    bool reusedConnection = false;
    /// Whether some of an answer came, whole or not.
    bool answerBegun = false;

    bool operator==(const CallResult &) const = default;
};

/// Sends one request to one upstream and reads the whole answer.
class UpstreamCall
{
public:
    UpstreamCall(ChannelPool &pool, Base::MemoryBudget &memory, const Base::Clock &clock);

    /// @p caller: its close ends the call. @p deadline bounds everything.
    [[nodiscard]] CallResult run(
        const Steering::UpstreamEntry &upstream, const ForwardedRequest &request, const Http::ByteStream &caller, Base::MonotonicMs deadline);

private:
    [[nodiscard]] CallEnd connect(const Steering::UpstreamEntry &upstream, bool idempotent, bool &reused);
    [[nodiscard]] std::string requestText(const Steering::UpstreamEntry &upstream, const ForwardedRequest &request) const;
    [[nodiscard]] CallEnd readAnswer(const ForwardedRequest &request, UpstreamAnswer &answer);
    [[nodiscard]] CallEnd readHead(Poco::Net::HTTPResponse &response);
    [[nodiscard]] CallEnd readBody(const Http::BodyFrame &frame, UpstreamAnswer &answer);
    /// Takes memory for @p body; Answered when there is enough.
    [[nodiscard]] CallEnd holdBody(UpstreamAnswer &answer) const;
    [[nodiscard]] CallEnd receive();
    void noteReuse(const Poco::Net::HTTPResponse &response, bool endsWithConnection);

    ChannelPool &pool_;
    Base::MemoryBudget &memory_;
    const Base::Clock &clock_;
    std::unique_ptr<Http::ByteStream> stream_;
    std::string_view unsent_;
    const Http::ByteStream *caller_ = nullptr;
    Base::MonotonicMs deadline_ = 0;
    bool reusable_ = false;
    bool answerBegun_ = false;
    std::int64_t keepAliveMs_ = 0;
};

} // namespace Wasabistair::Upstreams
