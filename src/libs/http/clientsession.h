#pragma once

#include "recordingsocket.h"

#include <base/settings.h>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <istream>

namespace Wasabistair::Http {

/// HTTP/1.1 client connection that never reconnects and never sends a request again by itself, and that bounds what a faulty server
/// can make it read.
class ClientSession: public Poco::Net::HTTPClientSession
{
public:
    explicit ClientSession(const Base::Clock &clock);

    /// Connects. Throws Poco::Exception on failure; in that case nothing was sent.
    void open(const Base::HostPort &address, int timeoutMs);
    void setTimeouts(int sendMs, int receiveMs);
    /// Reads the head of an answer, interim answers (1xx) included. Throws Poco::Exception when it doesn't end within maxHeadBytes or before
    /// @p deadline.
    std::istream &receiveHead(Poco::Net::HTTPResponse &response, Base::MonotonicMs deadline);
    /// Reads an answer's body to its end into @p body; false when it breaks off, exceeds @p maxBytes or doesn't end before @p deadline.
    [[nodiscard]] bool readBody(std::istream &in, std::size_t maxBytes, Base::MonotonicMs deadline, std::string &body);
    [[nodiscard]] RecordingSocketImpl &recording();
    /// Number of bytes received but not yet consumed by the HTTP classes.
    [[nodiscard]] int unreadBytes() const;
    /// Closes the connection with a reset (RST), whatever its state.
    void abandon() noexcept;

    /// Largest head of an answer, with the interim answers before it and what one receive may return beyond it.
    static constexpr std::uint64_t maxHeadBytes = 64 << 10;

protected:
    int write(const char *buffer, std::streamsize length) override;
    bool mustReconnect() const override;

private:
    RecordingSocketImpl *recording_;
};

} // namespace Wasabistair::Http
