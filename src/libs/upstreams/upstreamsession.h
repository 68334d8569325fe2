#pragma once

#include <base/settings.h>
#include <http/recordingsocket.h>

#include <Poco/Net/HTTPClientSession.h>

/// Requests to upstreams: connections, single tries, probes.
namespace Wasabistair::Upstreams {

/// One connection to one server. Unlike its base it never connects or sends again by itself: a
/// transparent second send would break "at most once".
class UpstreamSession: public Poco::Net::HTTPClientSession
{
public:
    explicit UpstreamSession(const Base::Clock &clock);

    /// Connects; throws Poco::Exception on failure. Nothing was sent then.
    void open(const Base::HostPort &address, int timeoutMs);
    /// True when the idle connection still looks usable: open, and no byte waits to be read.
    [[nodiscard]] bool looksUsable();
    [[nodiscard]] Http::RecordingSocketImpl &recording();
    /// Bytes received but not yet consumed by the HTTP classes.
    [[nodiscard]] int unreadBytes() const;
    void setTimeouts(int sendMs, int receiveMs);
    /// Closes the connection at once, whatever its state.
    void abandon() noexcept;

    /// Unacknowledged bytes for this long end a connection whose path lost track of it.
    static constexpr int userTimeoutMs = 3'000;

protected:
    int write(const char *buffer, std::streamsize length) override;
    bool mustReconnect() const override;

private:
    Http::RecordingSocketImpl *recording_;
};

} // namespace Wasabistair::Upstreams
