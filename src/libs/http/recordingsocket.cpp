#include "recordingsocket.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <cstring>
#include <string_view>

namespace Wasabistair::Http {

namespace {

constexpr std::string_view lastChunk = "0\r\n\r\n";
constexpr std::string_view lineEnd = "\r\n";

} // namespace

RecordingSocketImpl::RecordingSocketImpl(const Base::Clock &clock)
    : clock_(clock)
{}

RecordingSocketImpl::RecordingSocketImpl(poco_socket_t socket, const Base::Clock &clock)
    : Poco::Net::StreamSocketImpl(socket)
    , clock_(clock)
{}

void RecordingSocketImpl::waitForBytes()
{
    if (receiveDeadline_ == 0) {
        return;
    }
    const Base::MonotonicMs remainingMs = receiveDeadline_ - clock_.monotonic();
    const Poco::Timespan wait(std::max<Base::MonotonicMs>(0, remainingMs) * Poco::Timespan::MILLISECONDS);
    if (remainingMs <= 0 || !poll(wait, SELECT_READ)) {
        throw Poco::TimeoutException();
    }
}

int RecordingSocketImpl::receiveBytes(void *buffer, int length, int flags)
{
    if (isReceiveLimitReached()) {
        throw Poco::DataException("receive limit reached");
    }
    waitForBytes();
    const int count = StreamSocketImpl::receiveBytes(buffer, length, flags);
    if ((flags & MSG_PEEK) != 0) {
        return count;
    }
    if (count > 0) {
        recordReceived(static_cast<const char *>(buffer), static_cast<std::size_t>(count));
    } else if (count == 0) {
        peerClosed_ = true;
    }
    return count;
}

void RecordingSocketImpl::recordReceived(const char *bytes, std::size_t count)
{
    bytesReceived_ += count;
    if (count >= tailSize) {
        std::memcpy(tail_.data(), bytes + count - tailSize, tailSize);
        return;
    }
    std::memmove(tail_.data(), tail_.data() + count, tailSize - count);
    std::memcpy(tail_.data() + tailSize - count, bytes, count);
}

bool RecordingSocketImpl::peerClosed() const
{
    return peerClosed_;
}

bool RecordingSocketImpl::endsWithLastChunk() const
{
    const std::string_view tail(tail_.data(), tailSize);
    return tail.substr(lineEnd.size()) == lastChunk && tail.substr(0, lineEnd.size()) == lineEnd;
}

void RecordingSocketImpl::setReceiveDeadline(Base::MonotonicMs deadline)
{
    receiveDeadline_ = deadline;
}

void RecordingSocketImpl::setReceiveLimit(std::uint64_t bytes)
{
    receiveLimit_ = bytes == 0 ? 0 : bytesReceived_ + bytes;
}

bool RecordingSocketImpl::isReceiveLimitReached() const
{
    return receiveLimit_ > 0 && bytesReceived_ >= receiveLimit_;
}

RecordingServerSocketImpl::RecordingServerSocketImpl(const Base::Clock &clock)
    : clock_(clock)
{}

Poco::Net::SocketImpl *RecordingServerSocketImpl::acceptConnection(Poco::Net::SocketAddress &clientAddress)
{
    Poco::Net::SocketImpl *accepted = ServerSocketImpl::acceptConnection(clientAddress);
    // The recording socket gets a duplicate of the descriptor; releasing the plain socket object closes the original.
    const poco_socket_t descriptor = accepted->sockfd();
    auto *recording = new RecordingSocketImpl(::dup(descriptor), clock_);
    accepted->release();
    return recording;
}

} // namespace Wasabistair::Http
