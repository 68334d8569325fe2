#include "scriptedupstream.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>

#include <array>
#include <chrono>
#include <sstream>

namespace Wasabistair::StandIns {

namespace {

constexpr int pollMs = 10;
constexpr int lateBytesDelayMs = 30;

Poco::Timespan milliseconds(int value)
{
    return {static_cast<Poco::Timespan::TimeDiff>(value) * Poco::Timespan::MILLISECONDS};
}

} // namespace

std::string ReceivedRequest::header(const std::string &name) const
{
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos && Poco::icompare(line.substr(0, colon), name) == 0) {
            return Poco::trim(line.substr(colon + 1));
        }
    }
    return {};
}

ScriptedUpstream::ScriptedUpstream(Script script)
    : script_(std::move(script))
{
    socket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
    socket_.listen();
    acceptor_ = std::thread([this] { acceptLoop(); });
}

ScriptedUpstream::~ScriptedUpstream()
{
    stopping_ = true;
    acceptor_.join();
    for (std::thread &thread : threads_) {
        thread.join();
    }
}

std::uint16_t ScriptedUpstream::port() const
{
    return socket_.address().port();
}

std::vector<ReceivedRequest> ScriptedUpstream::received() const
{
    const std::lock_guard lock(mutex_);
    return received_;
}

int ScriptedUpstream::abandoned() const
{
    return cancelled_;
}

std::string ScriptedUpstream::completeAnswer(const ReceivedRequest &request, int status, const std::string &body, const std::string &extraHeaders)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Request-Id: " + request.header("X-Request-Id") + "\r\nX-Server-Seal: seal-of-"
        + request.header("X-Target-Instance") + "\r\n" + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void ScriptedUpstream::acceptLoop()
{
    while (!stopping_) {
        if (socket_.poll(milliseconds(pollMs), Poco::Net::Socket::SELECT_READ)) {
            threads_.emplace_back([this, socket = socket_.acceptConnection()] { serve(socket); });
        }
    }
}

void ScriptedUpstream::serve(Poco::Net::StreamSocket socket)
{
    try {
        std::string buffer;
        while (serveRequest(socket, buffer)) {}
    } catch (const Poco::Exception &) {
        // The client closed the connection. Tests check this at the client's side.
        return;
    }
}

bool ScriptedUpstream::isClosedOrReset(Poco::Net::StreamSocket &socket)
{
    char byte = 0;
    try {
        return socket.receiveBytes(&byte, 1, MSG_PEEK) == 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

bool ScriptedUpstream::waitUnlessClosed(Poco::Net::StreamSocket &socket, int durationMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(durationMs);
    while (!stopping_ && std::chrono::steady_clock::now() < until) {
        if (socket.poll(milliseconds(pollMs), Poco::Net::Socket::SELECT_READ) && isClosedOrReset(socket)) {
            ++cancelled_;
            return false;
        }
    }
    return !stopping_;
}

bool ScriptedUpstream::serveRequest(Poco::Net::StreamSocket &socket, std::string &buffer)
{
    std::array<char, 4096> bytes;
    std::size_t headEnd = std::string::npos;
    std::size_t bodyBytes = 0;
    while (headEnd == std::string::npos || buffer.size() < headEnd + 4 + bodyBytes) {
        if (stopping_) {
            return false;
        }
        if (!socket.poll(milliseconds(pollMs), Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        const int count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes.data(), static_cast<std::size_t>(count));
        headEnd = buffer.find("\r\n\r\n");
        const std::string contentLength = headEnd == std::string::npos ? "" : ReceivedRequest{buffer.substr(0, headEnd + 2), ""}.header("Content-Length");
        bodyBytes = contentLength.empty() ? 0 : std::stoul(contentLength);
    }
    const ReceivedRequest request{buffer.substr(0, headEnd + 2), buffer.substr(headEnd + 4, bodyBytes)};
    buffer.erase(0, headEnd + 4 + bodyBytes);
    {
        const std::lock_guard lock(mutex_);
        received_.push_back(request);
    }
    const ScriptedAnswer answer = script_(request);
    if (answer.delayMs > 0 && !waitUnlessClosed(socket, answer.delayMs)) {
        return false;
    }
    socket.sendBytes(answer.bytes.data(), static_cast<int>(answer.bytes.size()));
    while (!answer.endlessBytes.empty() && !stopping_) {
        socket.sendBytes(answer.endlessBytes.data(), static_cast<int>(answer.endlessBytes.size()));
    }
    if (!answer.lateBytes.empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(lateBytesDelayMs));
        socket.sendBytes(answer.lateBytes.data(), static_cast<int>(answer.lateBytes.size()));
    }
    if (answer.resetAfter) {
        socket.setLinger(true, 0);
        socket.close();
        return false;
    }
    return !answer.closeAfter;
}

} // namespace Wasabistair::StandIns
