#pragma once

#include <base/clock.h>

#include <Poco/Net/ServerSocketImpl.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <array>
#include <cstddef>
#include <cstdint>

/// What POCO's HTTP classes leave open and the promises need: proof that a body arrived whole.
namespace Wasabistair::Http {

/// Stream socket that remembers the last bytes received and whether the peer closed.
///
/// POCO's chunked stream reports a truncated or malformed body the same way as a complete one; what
/// was last read from the socket tells them apart (see BodyReader).
class RecordingSocketImpl: public Poco::Net::StreamSocketImpl
{
public:
    explicit RecordingSocketImpl(const Base::Clock &clock);
    RecordingSocketImpl(poco_socket_t socket, const Base::Clock &clock);

    int receiveBytes(void *buffer, int length, int flags = 0) override;

    [[nodiscard]] bool peerClosed() const;
    /// True when the bytes received last are a complete end of a chunked body without trailers.
    [[nodiscard]] bool endsWithLastChunk() const;

    /// Receiving fails with a timeout once the monotonic clock passes @p deadline; 0 means no limit.
    void setReceiveDeadline(Base::MonotonicMs deadline);
    /// Receiving fails with a Poco::DataException once @p bytes more were received; 0 means no limit.
    /// The receive that reaches the limit still succeeds.
    void setReceiveLimit(std::uint64_t bytes);
    [[nodiscard]] bool isReceiveLimitReached() const;

protected:
    ~RecordingSocketImpl() override = default;

private:
    void remember(const char *bytes, std::size_t count);
    void awaitBytes();

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
