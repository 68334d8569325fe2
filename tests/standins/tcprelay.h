#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace Wasabistair::StandIns {

enum class RelayMode {
    Forward,
    /// Connections stay open and no bytes are forwarded, as when a middlebox has lost the state of the connections.
    Blackhole,
    /// Connections from before this mode was set stay open without forwarding; new ones are forwarded.
    BlackholeExisting,
    /// Existing connections are closed, new ones are closed right after they are accepted.
    Disconnect,
};

/// Forwards TCP connections to another loopback port and simulates network faults.
class TcpRelay
{
public:
    explicit TcpRelay(std::uint16_t target);
    ~TcpRelay();

    [[nodiscard]] std::uint16_t port() const;
    void setMode(RelayMode mode);
    /// Delays each block of bytes before it is forwarded.
    void setDelayMs(int milliseconds);

private:
    struct Connection;

    void acceptLoop();
    void forwardLoop(Connection &connection);

    const std::uint16_t target_;
    std::atomic<RelayMode> mode_{RelayMode::Forward};
    /// Number of setMode() calls; a connection keeps the number at which it was accepted.
    std::atomic<std::uint64_t> modeEpoch_{0};
    std::atomic<int> delayMs_{0};
    std::atomic<bool> stopping_{false};
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::list<std::unique_ptr<Connection>> connections_;
    std::thread acceptor_;
};

} // namespace Wasabistair::StandIns
