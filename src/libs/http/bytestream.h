#pragma once

#include <base/clock.h>
#include <base/settings.h>

#include <Poco/Net/StreamSocket.h>

#include <compare>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Wasabistair::Http {

enum class IoState {
    Ok,
    /// The peer closed its sending side without an error.
    Closed,
    /// The connection failed, for example by a reset.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The watched connection was closed by its peer.
    Interrupted,
};

/// TCP connection with a buffer of received bytes. Every wait has a deadline and ends early when the peer of a watched connection closes it.
class ByteStream
{
public:
    ByteStream(const Poco::Net::StreamSocket &socket, const Base::Clock &clock);

    /// Waits for bytes and appends them to input(). A close of @p watched by its peer ends the wait; null watches no connection.
    IoState receive(Base::MonotonicMs deadline, const ByteStream *watched = nullptr);
    /// Sends all of @p bytes.
    IoState send(std::string_view bytes, Base::MonotonicMs deadline, const ByteStream *watched = nullptr);
    /// Sends as much of @p unsent as the socket accepts now, waits until the socket is readable or, with bytes left to send, writable, and
    /// reads what has arrived. Removes the bytes sent from @p unsent.
    IoState exchange(std::string_view &unsent, Base::MonotonicMs deadline, const ByteStream *watched = nullptr);

    IoState waitUntilWritable(Base::MonotonicMs deadline, const ByteStream *watched = nullptr) const;

    /// Called when bytes arrive on this connection while another one watches it. Returns false to get no more calls during that wait.
    using OnReadable = std::function<bool()>;
    /// Sets the function to call, which runs in the waiting thread; null removes it.
    void setOnReadable(OnReadable hook);
    /// Appends bytes that have arrived to input(), without waiting.
    IoState readAvailable();

    /// Bytes received and not yet consumed; the user erases what it consumes.
    std::string &input();
    /// Whether the socket has unread bytes, a close by the peer or an error pending; input() is not considered.
    [[nodiscard]] bool isReadable() const;
    /// Whether the peer closed or reset the connection.
    [[nodiscard]] bool isClosedByPeer() const;
    /// Whether bytes were sent whose arrival the peer has not acknowledged.
    [[nodiscard]] bool hasUnacknowledgedBytes() const;
    /// Shuts down the sending side, then discards what still arrives until the peer closes or @p deadline passes, so that the peer can
    /// read the last answer before the connection is reset.
    void lingeringClose(Base::MonotonicMs deadline);
    /// Closes the connection with a reset (RST).
    void abort();
    Poco::Net::StreamSocket &socket();

private:
    [[nodiscard]] bool hasEvent(short events) const;
    IoState waitFor(short events, Base::MonotonicMs deadline, const ByteStream *watched, short &ready) const;

    Poco::Net::StreamSocket socket_;
    const Base::Clock &clock_;
    std::string input_;
    OnReadable onReadable_;
};

/// TCP options by which the kernel detects a dead peer: the time without an acknowledgement of sent data after which it closes the
/// connection (TCP_USER_TIMEOUT), and the keep-alive probes of idle connections.
struct TcpOptions {
    int userTimeoutMs = 0;
    int keepAliveIdleSeconds = 0;
    int keepAliveIntervalSeconds = 0;
    int keepAliveProbes = 0;

    auto operator<=>(const TcpOptions &) const = default;
};

void applyTcpOptions(Poco::Net::StreamSocket &socket, const TcpOptions &care);

/// Connects to an IP address. Returns null on failure and sets @p state to Broken, TimedOut or Interrupted.
[[nodiscard]] std::unique_ptr<ByteStream> connectTo(
    const Base::HostPort &address, Base::MonotonicMs deadline, const Base::Clock &clock, IoState &state, const ByteStream *watched = nullptr);

} // namespace Wasabistair::Http
