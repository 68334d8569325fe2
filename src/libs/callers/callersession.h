#pragma once

#include "readahead.h"

#include <memory>

namespace Wasabistair::Callers {

/// What all connections of a process share.
struct SessionContext {
    PassContext &pass;
    /// Set while the process stops: connections are closed after their next answer.
    const std::atomic<bool> &stopping;
    /// Until then new requests are taken while the process stops; 0: no limit.
    const std::atomic<Base::MonotonicMs> &refuseAfter;
    /// Requests that are being served.
    std::atomic<int> &active;
    /// Threads that run requests beside an earlier one of their connection.
    std::atomic<int> &aheadThreads;
};

/// Serves one connection of a caller until either side closes it.
class CallerSession
{
public:
    CallerSession(SessionContext &context, const Poco::Net::StreamSocket &socket);

    void run();

private:
    /// False when the connection must be closed.
    bool serveOne();
    /// Passes @p request on, and starts what arrives behind it meanwhile.
    [[nodiscard]] PassResult pass(const CallerRequest &request, ReadAhead &ahead);
    /// Answers what was started behind the first request, in its order.
    bool answerAhead(ReadAhead &ahead);
    /// @p followers: requests behind this one that are being served; the connection stays open for them.
    bool answer(const CallerRequest &request, const PassResult &result, std::size_t followers = 0);
    [[nodiscard]] bool isPastRefusal() const;
    bool sendAnswer(const CallerRequest &request, const PassResult &result, bool close);
    void refuseUnread(ReadEnd end, const CallerRequest &request);
    [[nodiscard]] Steering::CallerLimits limits() const;

    SessionContext &context_;
    Http::ByteStream stream_;
    bool first_ = true;
};

} // namespace Wasabistair::Callers
