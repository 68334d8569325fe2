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

/// One request as an upstream received it.
struct ReceivedRequest {
    std::string head;
    std::string body;

    /// Value of a header; empty when it is missing.
    [[nodiscard]] std::string header(const std::string &name) const;
};

/// What an upstream sends back, byte by byte.
struct ScriptedAnswer {
    std::string bytes;
    /// Wait before the bytes are sent, in ms.
    int delayMs = 0;
    /// Sent behind the answer on the kept connection, after a pause.
    std::string lateBytes{};
    /// Sent again and again behind the bytes, until the other side closes.
    std::string endlessBytes{};
    bool closeAfter = false;
    /// Ends with a reset instead of an orderly close.
    bool resetAfter = false;
};

/// Upstream of the users' platform whose every answer a test decides.
class ScriptedUpstream
{
public:
    using Script = std::function<ScriptedAnswer(const ReceivedRequest &)>;

    explicit ScriptedUpstream(Script script);
    ~ScriptedUpstream();

    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::vector<ReceivedRequest> received() const;
    /// Connections that the other side closed while an answer was being waited for.
    [[nodiscard]] int abandoned() const;

    /// A whole answer to @p request as an upstream of the platform sends it.
    [[nodiscard]] static std::string wholeAnswer(const ReceivedRequest &request, int status, const std::string &body, const std::string &extraHeaders = "");

private:
    void acceptLoop();
    void serve(Poco::Net::StreamSocket socket);
    bool serveRequest(Poco::Net::StreamSocket &socket, std::string &buffer);
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
