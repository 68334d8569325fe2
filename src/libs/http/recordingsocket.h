#pragma once

#include <base/clock.h>

#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <array>
#include <cstddef>
#include <cstdint>

/// HTTP/1.1 on top of POCO: message heads, body decoding, and detection of incomplete bodies, which POCO does not report.
namespace Wasabistair::Http {

/// Stream socket that records the last bytes received and whether the peer closed the connection.
///
/// POCO's chunked stream reports the same end for a complete, a truncated and a malformed body. BodyReader distinguishes them by the last
/// bytes read from the socket.
class RecordingSocketImpl: public Poco::Net::StreamSocketImpl
{
public:
    explicit RecordingSocketImpl(const Base::Clock &clock);
    RecordingSocketImpl(poco_socket_t socket, const Base::Clock &clock);

    int receiveBytes(void *buffer, int length, int flags = 0) override;

    [[nodiscard]] bool peerClosed() const;
    /// True when the last bytes received are the end of a chunked body without trailers.
    [[nodiscard]] bool endsWithLastChunk() const;

    /// Receiving throws a Poco::TimeoutException once the monotonic clock reaches @p deadline; 0 means no deadline.
    void setReceiveDeadline(Base::MonotonicMs deadline);
    /// Receiving throws a Poco::DataException once @p bytes more have been received; 0 means no limit.
    /// The call that reaches the limit still succeeds.
    void setReceiveLimit(std::uint64_t bytes);
    [[nodiscard]] bool isReceiveLimitReached() const;

protected:
    ~RecordingSocketImpl() override = default;

private:
    void recordReceived(const char *bytes, std::size_t count);
    void waitForBytes();

    static constexpr std::size_t tailSize = 7;

    const Base::Clock &clock_;
    std::array<char, tailSize> tail_{};
    std::uint64_t bytesReceived_ = 0;
    std::uint64_t receiveLimit_ = 0;
    Base::MonotonicMs receiveDeadline_ = 0;
    bool peerClosed_ = false;
};

/// Server socket whose accepted connections are recording sockets.
class RecordingServerSocketImpl: public Poco::Net::ServerSocketImpl
{
public:
    explicit RecordingServerSocketImpl(const Base::Clock &clock);

    Poco::Net::SocketImpl *acceptConnection(Poco::Net::SocketAddress &clientAddress) override;

protected:
    ~RecordingServerSocketImpl() override = default;

private:
    const Base::Clock &clock_;
};

} // namespace Wasabistair::Http
