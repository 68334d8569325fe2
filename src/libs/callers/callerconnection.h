#pragma once

#include "callerexchange.h"

#include <base/clock.h>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnection.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace Wasabistair::Callers {

/// Limits of callers' connections.
struct CallerLimits {
    std::int64_t headerTimeoutMs = 0;
    std::int64_t idleTimeoutMs = 0;
    int maxConnections = 0;
    /// Request line and header fields together, with their line ends.
    std::int64_t maxHeaderBytes = 0;
};

/// Answers one request.
using CallerHandler = std::function<void(CallerExchange &)>;

/// One connection of a caller: reads requests one after another and hands each to the handler.
class CallerConnection: public Poco::Net::TCPServerConnection
{
public:
    CallerConnection(const Poco::Net::StreamSocket &socket, const CallerHandler &handler, const CallerLimits &limits, const Base::Clock &clock,
        std::function<bool()> stopping);

    void run() override;

private:
    class Session;

    [[nodiscard]] bool serveOne(Session &session);
    [[nodiscard]] std::optional<ProblemKind> check(const Poco::Net::HTTPServerRequestImpl &request) const;
    void refuseUnread(Session &session, ProblemKind kind);
    /// Ends a connection whose input was not read to its end, so that the answer reaches the caller.
    void lingerClose();

    const CallerHandler &handler_;
    const CallerLimits &limits_;
    const Base::Clock &clock_;
    const std::function<bool()> stopping_;
    Poco::Net::HTTPServerParams::Ptr params_;
};

} // namespace Wasabistair::Callers
