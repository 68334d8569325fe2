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

constexpr int sliceMs = 10;
constexpr int lateAfterMs = 30;

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
    closing_ = true;
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
    return abandoned_;
}

std::string ScriptedUpstream::wholeAnswer(const ReceivedRequest &request, int status, const std::string &body, const std::string &more)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nX-Request-Id: " + request.header("X-Request-Id") + "\r\nX-Server-Seal: seal-of-"
        + request.header("X-Target-Instance") + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void ScriptedUpstream::acceptLoop()
{
    while (!closing_) {
        if (socket_.poll(milliseconds(sliceMs), Poco::Net::Socket::SELECT_READ)) {
            threads_.emplace_back([this, socket = socket_.acceptConnection()] { serve(socket); });
        }
    }
}

void ScriptedUpstream::serve(Poco::Net::StreamSocket socket)
{
    try {
        std::string buffer;
        while (serveOne(socket, buffer)) {}
    } catch (const Poco::Exception &) {
        // The other side is gone; what it received is what the test looks at.
        return;
    }
}

bool ScriptedUpstream::waitUnlessClosed(Poco::Net::StreamSocket &socket, int durationMs)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(durationMs);
    while (!closing_ && std::chrono::steady_clock::now() < until) {
        char byte = 0;
        if (socket.poll(milliseconds(sliceMs), Poco::Net::Socket::SELECT_READ) && socket.receiveBytes(&byte, 1, MSG_PEEK) == 0) {
            ++abandoned_;
            return false;
        }
    }
    return !closing_;
}

bool ScriptedUpstream::serveOne(Poco::Net::StreamSocket &socket, std::string &buffer)
{
    std::array<char, 4096> bytes;
    std::size_t end = std::string::npos;
    std::size_t length = 0;
    while (end == std::string::npos || buffer.size() < end + 4 + length) {
        if (closing_) {
            return false;
        }
        if (!socket.poll(milliseconds(sliceMs), Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        const int count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes.data(), static_cast<std::size_t>(count));
        end = buffer.find("\r\n\r\n");
        const std::string lengthText = end == std::string::npos ? "" : ReceivedRequest{buffer.substr(0, end + 2), ""}.header("Content-Length");
        length = lengthText.empty() ? 0 : std::stoul(lengthText);
    }
    const ReceivedRequest request{buffer.substr(0, end + 2), buffer.substr(end + 4, length)};
    buffer.erase(0, end + 4 + length);
    {
        const std::lock_guard lock(mutex_);
        received_.push_back(request);
    }
    const ScriptedAnswer answer = script_(request);
    if (answer.delayMs > 0 && !waitUnlessClosed(socket, answer.delayMs)) {
        return false;
    }
    socket.sendBytes(answer.bytes.data(), static_cast<int>(answer.bytes.size()));
    while (!answer.endlessBytes.empty() && !closing_) {
        socket.sendBytes(answer.endlessBytes.data(), static_cast<int>(answer.endlessBytes.size()));
    }
    if (!answer.lateBytes.empty()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(lateAfterMs));
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
