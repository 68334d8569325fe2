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
    /// The peer ended its side in an orderly way.
    Closed,
    /// The connection broke.
    Broken,
    /// The deadline passed.
    TimedOut,
    /// The watched connection was closed by its peer.
    Interrupted,
};

/// Connection with a buffer of received bytes. Every wait has a deadline and can be ended by another connection's close.
class ByteStream
{
public:
    ByteStream(const Poco::Net::StreamSocket &socket, const Base::Clock &clock);

    /// Waits for bytes and appends them to input(). @p watched: connection whose close ends the wait; may be null.
    IoState receive(Base::MonotonicMs deadline, const ByteStream *watched = nullptr);
    /// Sends all of @p bytes.
    IoState send(std::string_view bytes, Base::MonotonicMs deadline, const ByteStream *watched = nullptr);
    /// Sends what the connection takes now and reads what is there; waits for either. @p unsent shrinks.
    IoState exchange(std::string_view &unsent, Base::MonotonicMs deadline, const ByteStream *watched = nullptr);

    IoState waitUntilWritable(Base::MonotonicMs deadline, const ByteStream *watched = nullptr) const;

    /// Called when bytes arrive on this connection while it is watched; false: not again during that wait.
    using OnReadable = std::function<bool()>;
    /// @p hook runs in the thread that waits; null takes it back.
    void setOnReadable(OnReadable hook);
    /// Appends to input() what has arrived, without waiting.
    IoState readAvailable();

    /// Bytes received and not yet consumed.
    std::string &input();
    /// Whether bytes or the peer's close are waiting; says nothing about input().
    [[nodiscard]] bool isReadable() const;
    /// Whether the peer closed or reset the connection.
    [[nodiscard]] bool isPeerGone() const;
    /// Ends the sending side, then reads and drops what still arrives until the peer closes or @p deadline.
    void closeGently(Base::MonotonicMs deadline);
    /// Breaks the connection so that the peer sees a reset.
    void abort();
    Poco::Net::StreamSocket &socket();

private:
    IoState waitFor(short events, Base::MonotonicMs deadline, const ByteStream *watched, short &ready) const;

    Poco::Net::StreamSocket socket_;
    const Base::Clock &clock_;
    std::string input_;
    OnReadable onReadable_;
};

/// Milliseconds without an acknowledgement after which the kernel gives a connection up, and its keep-alive probing.
struct ConnectionCare {
    int userTimeoutMs = 0;
    int keepAliveIdleSeconds = 0;
    int keepAliveIntervalSeconds = 0;
    int keepAliveProbes = 0;

    auto operator<=>(const ConnectionCare &) const = default;
};

void applyCare(Poco::Net::StreamSocket &socket, const ConnectionCare &care);

/// Connects to an IP address; null when that fails, and @p state then says how: Broken, TimedOut or Interrupted.
[[nodiscard]] std::unique_ptr<ByteStream> connectTo(
    const Base::HostPort &address, Base::MonotonicMs deadline, const Base::Clock &clock, IoState &state, const ByteStream *watched = nullptr);

} // namespace Wasabistair::Http
