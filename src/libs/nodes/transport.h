#pragma once

#include <cstdint>
#include <functional>
#include <string>

/// Communication between entry VMs: connections, messages, membership, and forwarding of configurations.
namespace Wasabistair::Nodes {

/// Never reused within a process.
using ConnectionId = std::uint64_t;

/// Callbacks of a transport; all are called from one thread.
struct TransportHandlers {
    std::function<void(ConnectionId, bool outgoing, const std::string &remoteHost)> opened;
    std::function<void(ConnectionId, const std::string &bytes)> received;
    std::function<void(ConnectionId)> closed;
};

/// Transfers complete messages between processes. This header must compile as C++17 (see websockettransport).
class Transport
{
public:
    virtual ~Transport() = default;

    virtual void start(TransportHandlers handlers) = 0;
    virtual void stop() = 0;
    /// Starts to connect; calls either opened() or closed() later.
    virtual ConnectionId connect(const std::string &host, std::uint16_t port) = 0;
    virtual void send(ConnectionId connection, const std::string &bytes) = 0;
    virtual void close(ConnectionId connection) = 0;
    virtual std::uint64_t bytesSent() const = 0;
    virtual std::uint64_t bytesReceived() const = 0;
};

} // namespace Wasabistair::Nodes
