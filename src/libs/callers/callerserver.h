#pragma once

#include "callerconnection.h"

#include <base/settings.h>

#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <memory>

namespace Wasabistair::Callers {

/// Listens for callers. Each connection has a thread of its own, up to CallerLimits::maxConnections.
class CallerServer
{
public:
    CallerServer(const Base::HostPort &address, CallerHandler handler, CallerLimits limits, const Base::Clock &clock);
    ~CallerServer();

    void start();
    /// Ends connections as soon as their present request is answered, and takes no new ones.
    void stopAfterRequests();
    /// Waits until all connections have ended or @p milliseconds have passed; true if all ended.
    bool awaitEnd(std::int64_t milliseconds);
    [[nodiscard]] int connections() const;

private:
    const CallerHandler handler_;
    const CallerLimits limits_;
    const Base::Clock &clock_;
    std::atomic<bool> stopping_{false};
    Poco::ThreadPool threads_;
    std::unique_ptr<Poco::Net::TCPServer> server_;
};

} // namespace Wasabistair::Callers
