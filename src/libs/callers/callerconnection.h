#pragma once

#include "callerexchange.h"

#include <base/clock.h>

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/TCPServerConnection.h>

#include <cstdint>
#include <functional>
#include <optional>

namespace Wasabistair::Callers {

/// Limits on the connections of callers.
struct ConnectionLimits {
    std::int64_t headerTimeoutMs = 0;
    std::int64_t idleTimeoutMs = 0;
    int maxConnections = 0;
    /// Size of the request line and all header fields, including their line ends.
    std::int64_t maxHeaderBytes = 0;
};

/// Answers one request.
using RequestHandler = std::function<void(CallerExchange &)>;

/// One connection of a caller: reads requests one after another and passes each to the handler.
class CallerConnection: public Poco::Net::TCPServerConnection
{
public:
    CallerConnection(const Poco::Net::StreamSocket &socket, const RequestHandler &handler, const ConnectionLimits &limits, const Base::Clock &clock,
        std::function<bool()> stopping);

    void run() override;

private:
    class Session;

    [[nodiscard]] bool serveOne(Session &session);
    [[nodiscard]] std::optional<ProblemKind> validate(const Poco::Net::HTTPServerRequestImpl &request) const;
    /// Rejects a request whose header could not be parsed.
    void rejectUnparsed(Session &session, ProblemKind kind);
    /// Closes a connection with unread input in a way that lets the answer reach the caller.
    void lingerClose();

    const RequestHandler &handler_;
    const ConnectionLimits &limits_;
    const Base::Clock &clock_;
    const std::function<bool()> stopping_;
    Poco::Net::HTTPServerParams::Ptr params_;
};

} // namespace Wasabistair::Callers
