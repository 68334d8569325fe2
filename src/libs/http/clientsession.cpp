#include "clientsession.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>

namespace Wasabistair::Http {

namespace {

constexpr std::size_t copyBufferBytes = 32 * 1024;

Poco::Timespan milliseconds(int value)
{
    return {static_cast<Poco::Timespan::TimeDiff>(value) * Poco::Timespan::MILLISECONDS};
}

/// StreamSocket with a given implementation; the base class's constructor for that is protected.
class CustomStreamSocket: public Poco::Net::StreamSocket
{
public:
    explicit CustomStreamSocket(Poco::Net::SocketImpl *implementation)
        : Poco::Net::StreamSocket(implementation)
    {}
};

} // namespace

ClientSession::ClientSession(const Base::Clock &clock)
    : Poco::Net::HTTPClientSession(CustomStreamSocket(new RecordingSocketImpl(clock)))
    , recording_(static_cast<RecordingSocketImpl *>(socket().impl()))
{
    setKeepAlive(true);
}

void ClientSession::open(const Base::HostPort &address, int timeoutMs)
{
    socket().connect(Poco::Net::SocketAddress(address.host, address.port), milliseconds(timeoutMs));
    socket().setNoDelay(true);
}

void ClientSession::setTimeouts(int sendMs, int receiveMs)
{
    socket().setSendTimeout(milliseconds(sendMs));
    socket().setReceiveTimeout(milliseconds(receiveMs));
}

std::istream &ClientSession::receiveHead(Poco::Net::HTTPResponse &response, Base::MonotonicMs deadline)
{
    // POCO bounds each header field but not the number of interim answers, and a faulty server may send them without end.
    recording_->setReceiveLimit(maxHeadBytes);
    recording_->setReceiveDeadline(deadline);
    std::istream &in = receiveResponse(response);
    recording_->setReceiveLimit(0);
    recording_->setReceiveDeadline(0);
    return in;
}

bool ClientSession::readBody(std::istream &in, std::size_t maxBytes, Base::MonotonicMs deadline, std::string &body)
{
    recording_->setReceiveDeadline(deadline);
    std::array<char, copyBufferBytes> buffer;
    while (in.read(buffer.data(), static_cast<std::streamsize>(buffer.size())) || in.gcount() > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(in.gcount()));
        if (body.size() > maxBytes) {
            return false;
        }
    }
    recording_->setReceiveDeadline(0);
    // An exception while receiving, such as that of the deadline, sets the bad bit.
    return !in.bad();
}

RecordingSocketImpl &ClientSession::recording()
{
    return *recording_;
}

int ClientSession::unreadBytes() const
{
    return buffered();
}

void ClientSession::abandon() noexcept
{
    try {
        // Discards what the peer has not received, which a close would leave to the kernel to deliver.
        socket().setLinger(true, 0);
    } catch (const Poco::Exception &) {
        // The peer has already closed the connection.
    }
    socket().close();
}

int ClientSession::write(const char *buffer, std::streamsize length)
{
    // The direct base class would reconnect and resend the bytes, so its base class is called.
    return HTTPSession::write(buffer, length); // NOLINT(bugprone-parent-virtual-call)
}

bool ClientSession::mustReconnect() const
{
    return false;
}

} // namespace Wasabistair::Http
