#pragma once

#include "callerconnection.h"

#include <base/settings.h>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <memory>

namespace Wasabistair::Callers {

/// Listens for callers and serves each connection on its own thread, up to ConnectionLimits::maxConnections.
class CallerServer
{
public:
    CallerServer(const Base::HostPort &address, RequestHandler handler, ConnectionLimits limits, const Base::Clock &clock);
    ~CallerServer();

    void start();
    /// Accepts no new connections and closes each open one as soon as its current request is answered.
    void drain();
    /// Waits until all connections are closed or @p milliseconds have passed; true if all are closed.
    bool waitUntilDrained(std::int64_t milliseconds);
    /// Number of open connections.
    [[nodiscard]] int connections() const;

private:
    const RequestHandler handler_;
    const ConnectionLimits limits_;
    const Base::Clock &clock_;
    std::atomic<bool> stopping_{false};
    Poco::ThreadPool threads_;
    std::unique_ptr<Poco::Net::TCPServer> server_;
};

} // namespace Wasabistair::Callers
