#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace Wasabistair::StandIns {

enum class RelayMode {
    Pass,
    /// Connections stay open and no byte passes, as when a box between has lost track of them.
    Silent,
    /// New connections pass; those that existed when this mode was set stay silent.
    OldSilent,
    /// Connections are closed and refused.
    Cut,
};

/// Forwards TCP connections to another loopback port, and fails on demand.
class TcpRelay
{
public:
    explicit TcpRelay(std::uint16_t target);
    ~TcpRelay();

    [[nodiscard]] std::uint16_t port() const;
    void setMode(RelayMode mode);
    void setDelayMs(int milliseconds);

private:
    struct Connection;

    void acceptLoop();
    void forwardLoop(Connection &connection);

    const std::uint16_t target_;
    std::atomic<RelayMode> mode_{RelayMode::Pass};
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
