#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Wasabistair::StandIns {

/// One request as the upstream received it.
struct ReceivedRequest {
    /// Request line and headers.
    std::string head;
    std::string body;

    /// Value of a header; empty if it is missing.
    [[nodiscard]] std::string header(const std::string &name) const;
};

/// Bytes that the upstream sends back for one request, and what it does with the connection.
struct ScriptedAnswer {
    std::string bytes;
    /// Delay before the bytes are sent, in milliseconds.
    int delayMs = 0;
    /// Sent after the answer and a pause of 30 ms, on the same connection.
    std::string lateBytes{};
    /// Sent repeatedly after the answer until the client closes the connection.
    std::string endlessBytes{};
    bool closeAfter = false;
    /// Ends the connection with a TCP reset.
    bool resetAfter = false;
};

/// Upstream in the wire format of the users' platform. A function of the test supplies each answer.
class ScriptedUpstream
{
public:
    using Script = std::function<ScriptedAnswer(const ReceivedRequest &)>;

    explicit ScriptedUpstream(Script script);
    ~ScriptedUpstream();

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::vector<ReceivedRequest> received() const;
    /// Number of connections that the client closed or reset during ScriptedAnswer::delayMs.
    [[nodiscard]] int abandoned() const;

    /// A complete answer to @p request in the platform's format. @p extraHeaders are lines that end in CRLF.
    [[nodiscard]] static std::string completeAnswer(const ReceivedRequest &request, int status, const std::string &body, const std::string &extraHeaders = "");

private:
    void acceptLoop();
    void serve(Poco::Net::StreamSocket socket);
    /// Reads and answers one request; false if the connection ends with it.
    bool serveRequest(Poco::Net::StreamSocket &socket, std::string &buffer);
    /// Whether the client has ended the connection, which is readable.
    [[nodiscard]] static bool isClosedOrReset(Poco::Net::StreamSocket &socket);
    /// Waits for @p durationMs; false if the client closes the connection or the upstream stops before.
    bool waitUnlessClosed(Poco::Net::StreamSocket &socket, int durationMs);

    const Script script_;
    Poco::Net::ServerSocket socket_;
    std::atomic<bool> stopping_{false};
    std::atomic<int> cancelled_{0};
    mutable std::mutex mutex_;
    std::vector<ReceivedRequest> received_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace Wasabistair::StandIns
