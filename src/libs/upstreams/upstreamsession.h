#pragma once

#include <http/clientsession.h>

namespace Wasabistair::Upstreams {

/// One connection to one server. Unlike its base class it never reconnects or resends by itself: a transparent resend
/// would violate at-most-once execution.
class UpstreamSession: public Http::ClientSession
{
public:
    using ClientSession::ClientSession;

    /// Connects. Throws Poco::Exception on failure; in that case nothing was sent.
    void open(const Base::HostPort &address, int timeoutMs);
    /// Whether the idle connection still seems usable: open, and without unread bytes.
    [[nodiscard]] bool looksUsable();

    /// Time without acknowledgement of sent data after which the kernel closes a connection, for example one whose state
    /// was lost on the network path.
    static constexpr int userTimeoutMs = 3'000;
};

} // namespace Wasabistair::Upstreams
