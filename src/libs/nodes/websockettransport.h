#pragma once

#include "transport.h"

#include <memory>

namespace Wasabistair::Nodes {

/// Transport over WebSocket (websocketpp). Listens on @p host:@p port. This header must compile as C++17, as websocketpp does
/// not compile as C++20.
class WebSocketTransport: public Transport
{
public:
    WebSocketTransport(std::string host, std::uint16_t port);
    ~WebSocketTransport() override;

    void start(TransportHandlers handlers) override;
    void stop() override;
    ConnectionId connect(const std::string &host, std::uint16_t port) override;
    void send(ConnectionId connection, const std::string &bytes) override;
    void close(ConnectionId connection) override;
    std::uint64_t bytesSent() const override;
    std::uint64_t bytesReceived() const override;

    /// Largest accepted message, in bytes: one part of a configuration and its envelope.
    static constexpr std::size_t maxMessageBytes = 1'100'000;
    /// A connection with more than this many bytes queued for sending is closed.
    static constexpr std::size_t maxQueuedBytes = 16'000'000;

private:
    class Internals;
    std::unique_ptr<Internals> internals_;
};

} // namespace Wasabistair::Nodes
