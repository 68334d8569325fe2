#include "bytestream.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

namespace Wasabistair::Http {

namespace {

constexpr std::size_t receiveBlockBytes = 16 * 1024;
// poll() takes its timeout as an int; longer waits call it repeatedly.
constexpr std::int64_t maxPollMs = 60'000;

int pollTimeout(Base::MonotonicMs deadline, Base::MonotonicMs now)
{
    return static_cast<int>(std::clamp<std::int64_t>(deadline - now, 0, maxPollMs));
}

} // namespace

ByteStream::ByteStream(const Poco::Net::StreamSocket &socket, const Base::Clock &clock)
    : socket_(socket)
    , clock_(clock)
{
    socket_.setNoDelay(true);
}

IoState ByteStream::waitFor(short events, Base::MonotonicMs deadline, const ByteStream *watched, short &ready) const
{
    bool pollsReadable = watched != nullptr && watched->onReadable_ != nullptr;
    while (true) {
        std::array<pollfd, 2> fds = {pollfd{socket_.impl()->sockfd(), events, 0}, pollfd{-1, POLLRDHUP, 0}};
        if (watched != nullptr) {
            fds[1].fd = watched->socket_.impl()->sockfd();
            fds[1].events = static_cast<short>(pollsReadable ? POLLRDHUP | POLLIN : POLLRDHUP);
        }
        const int count = ::poll(fds.data(), fds.size(), pollTimeout(deadline, clock_.monotonic()));
        if (count < 0 && errno != EINTR) {
            return IoState::Broken;
        }
        if (count > 0 && fds[0].revents != 0) {
            ready = fds[0].revents;
            return IoState::Ok;
        }
        if (count > 0 && (fds[1].revents & ~POLLIN) != 0) {
            return IoState::Interrupted;
        }
        if (count > 0) {
            pollsReadable = watched->onReadable_();
        }
        if (clock_.monotonic() >= deadline) {
            return IoState::TimedOut;
        }
    }
}

IoState ByteStream::readAvailable()
{
    const std::size_t before = input_.size();
    input_.resize(before + receiveBlockBytes);
    const ssize_t count = ::recv(socket_.impl()->sockfd(), input_.data() + before, receiveBlockBytes, MSG_DONTWAIT);
    const int error = errno;
    input_.resize(before + static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    if (count > 0) {
        return IoState::Ok;
    }
    if (count == 0) {
        return IoState::Closed;
    }
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR ? IoState::Ok : IoState::Broken;
}

IoState ByteStream::receive(Base::MonotonicMs deadline, const ByteStream *watched)
{
    short ready = 0;
    const IoState state = waitFor(POLLIN, deadline, watched, ready);
    return state == IoState::Ok ? readAvailable() : state;
}

IoState ByteStream::send(std::string_view bytes, Base::MonotonicMs deadline, const ByteStream *watched)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(socket_.impl()->sockfd(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count >= 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return IoState::Broken;
        }
        short ready = 0;
        if (const IoState state = waitFor(POLLOUT, deadline, watched, ready); state != IoState::Ok) {
            return state;
        }
    }
    return IoState::Ok;
}

IoState ByteStream::exchange(std::string_view &unsent, Base::MonotonicMs deadline, const ByteStream *watched)
{
    if (!unsent.empty()) {
        const ssize_t count = ::send(socket_.impl()->sockfd(), unsent.data(), unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
            unsent.remove_prefix(static_cast<std::size_t>(count));
        } else if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            // The peer may have sent an answer before it closed the connection; that answer can still be read.
            return readAvailable() == IoState::Ok && !input_.empty() ? IoState::Ok : IoState::Broken;
        }
    }
    short ready = 0;
    const auto events = static_cast<short>(unsent.empty() ? POLLIN : POLLIN | POLLOUT);
    if (const IoState state = waitFor(events, deadline, watched, ready); state != IoState::Ok) {
        return state;
    }
    return (ready & ~POLLOUT) != 0 ? readAvailable() : IoState::Ok;
}

IoState ByteStream::waitUntilWritable(Base::MonotonicMs deadline, const ByteStream *watched) const
{
    short ready = 0;
    return waitFor(POLLOUT, deadline, watched, ready);
}

void ByteStream::setOnReadable(OnReadable hook)
{
    onReadable_ = std::move(hook);
}

std::string &ByteStream::input()
{
    return input_;
}

bool ByteStream::isReadable() const
{
    return hasEvent(POLLIN | POLLRDHUP);
}

bool ByteStream::isClosedByPeer() const
{
    return hasEvent(POLLRDHUP);
}

bool ByteStream::hasEvent(short events) const
{
    pollfd fd{socket_.impl()->sockfd(), events, 0};
    int count = 0;
    do {
        // A signal that interrupts the call says nothing about the connection.
        count = ::poll(&fd, 1, 0);
    } while (count < 0 && errno == EINTR);
    return count != 0;
}

bool ByteStream::hasUnacknowledgedBytes() const
{
    int bytes = 0;
    return ::ioctl(socket_.impl()->sockfd(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void ByteStream::lingeringClose(Base::MonotonicMs deadline)
{
    ::shutdown(socket_.impl()->sockfd(), SHUT_WR);
    // A wait doesn't time out while bytes arrive, so the deadline is checked as well.
    while (clock_.monotonic() < deadline && receive(deadline) == IoState::Ok) {
        input_.clear();
    }
}

void ByteStream::abort()
{
    const linger resetOnClose{1, 0};
    ::setsockopt(socket_.impl()->sockfd(), SOL_SOCKET, SO_LINGER, &resetOnClose, sizeof resetOnClose);
    socket_.close();
}

Poco::Net::StreamSocket &ByteStream::socket()
{
    return socket_;
}

void applyTcpOptions(Poco::Net::StreamSocket &socket, const TcpOptions &care)
{
    const int fd = socket.impl()->sockfd();
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &care.keepAliveIdleSeconds, sizeof care.keepAliveIdleSeconds);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &care.keepAliveIntervalSeconds, sizeof care.keepAliveIntervalSeconds);
    ::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &care.keepAliveProbes, sizeof care.keepAliveProbes);
    ::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &care.userTimeoutMs, sizeof care.userTimeoutMs);
}

std::unique_ptr<ByteStream> connectTo(
    const Base::HostPort &address, Base::MonotonicMs deadline, const Base::Clock &clock, IoState &state, const ByteStream *watched)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connectNB(Poco::Net::SocketAddress(address.host, address.port));
        auto stream = std::make_unique<ByteStream>(socket, clock);
        state = stream->waitUntilWritable(deadline, watched);
        if (state == IoState::Ok && stream->socket().impl()->socketError() != 0) {
            state = IoState::Broken;
        }
        return state == IoState::Ok ? std::move(stream) : nullptr;
    } catch (const Poco::Exception &) {
        // An unreachable address is an expected failure, so the state reports it.
        state = IoState::Broken;
        return nullptr;
    }
}

} // namespace Wasabistair::Http
