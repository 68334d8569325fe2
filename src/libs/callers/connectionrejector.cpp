#include "connectionrejector.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>

namespace Wasabistair::Callers {

namespace {

// How long a connection is kept for its first bytes and for its caller to read the answer. Closing it with unread bytes would reset it, and
// the reset may discard the answer.
constexpr std::int64_t keepMs = 500;
constexpr std::size_t discardBytes = 16 * 1024;
// Some of the running requests end within the stated time.
constexpr std::string_view rejection = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

} // namespace

ConnectionRejector::ConnectionRejector(const Base::Clock &clock)
    : clock_(clock)
{}

void ConnectionRejector::add(const Poco::Net::StreamSocket &socket)
{
    if (rejected_.size() == maxConnections) {
        answer(rejected_.front());
        rejected_.pop_front();
    }
    const Base::MonotonicMs now = clock_.monotonic();
    Rejected rejected{socket, now + keepMs, false};
    if (progress(rejected, now)) {
        rejected_.push_back(std::move(rejected));
    }
}

void ConnectionRejector::poll()
{
    const Base::MonotonicMs now = clock_.monotonic();
    std::erase_if(rejected_, [now](Rejected &rejected) { return !progress(rejected, now); });
}

bool ConnectionRejector::isEmpty() const
{
    return rejected_.empty();
}

bool ConnectionRejector::progress(Rejected &rejected, Base::MonotonicMs now)
{
    std::array<char, discardBytes> buffer;
    const ssize_t count = ::recv(rejected.socket.impl()->sockfd(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
        answer(rejected);
    }
    const bool isOpen = count > 0 || (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
    return isOpen && now < rejected.closeAtMs;
}

void ConnectionRejector::answer(Rejected &rejected)
{
    if (rejected.answered) {
        return;
    }
    rejected.answered = true;
    const int fd = rejected.socket.impl()->sockfd();
    // The answer fits into the empty send buffer of the connection. When it can't be sent, the caller has left.
    static_cast<void>(::send(fd, rejection.data(), rejection.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
    ::shutdown(fd, SHUT_WR);
}

} // namespace Wasabistair::Callers
