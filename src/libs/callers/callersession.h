#pragma once

#include "requestpass.h"

#include <memory>

namespace Wasabistair::Callers {

/// What all connections of a process share.
struct SessionContext {
    PassContext &pass;
    BodyMemory &bodies;
    /// Set while the process stops: connections are closed after their next answer.
    const std::atomic<bool> &stopping;
    /// Until then new requests are taken while the process stops; 0: no limit.
    const std::atomic<Base::MonotonicMs> &refuseAfter;
    /// Requests that are being served.
    std::atomic<int> &active;
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
    bool answer(const CallerRequest &request, const PassResult &result);
    bool sendAnswer(const CallerRequest &request, const PassResult &result, bool close);
    void refuseUnread(ReadEnd end);
    [[nodiscard]] Steering::CallerLimits limits() const;

    SessionContext &context_;
    Http::ByteStream stream_;
    bool first_ = true;
};

} // namespace Wasabistair::Callers
