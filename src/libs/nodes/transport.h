#pragma once

#include <cstdint>
#include <functional>
#include <string>

/// Our own other processes: connections, messages, membership and relay of configurations.
namespace Wasabistair::Nodes {

/// Never reused within a process.
using ConnectionId = std::uint64_t;

/// What a transport reports; all calls come from one thread.
struct TransportHandlers {
    std::function<void(ConnectionId, bool outgoing, const std::string &remoteHost)> opened;
    std::function<void(ConnectionId, const std::string &bytes)> received;
    std::function<void(ConnectionId)> closed;
};

/// Moves whole messages between processes. This header stays C++17.
class Transport
{
public:
    virtual ~Transport() = default;

    virtual void start(TransportHandlers handlers) = 0;
    virtual void stop() = 0;
    /// Starts connecting; opened() or closed() follows.
    virtual ConnectionId connect(const std::string &host, std::uint16_t port) = 0;
    virtual void send(ConnectionId connection, const std::string &bytes) = 0;
    virtual void close(ConnectionId connection) = 0;
    virtual std::uint64_t bytesSent() const = 0;
    virtual std::uint64_t bytesReceived() const = 0;
};

} // namespace Wasabistair::Nodes
