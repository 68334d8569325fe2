#pragma once

#include "callersession.h"
#include "connectionrejector.h"

#include <base/settings.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <atomic>
#include <thread>

namespace Wasabistair::Callers {

/// Accepts connections of callers and serves each on its own thread.
class EntryServer
{
public:
    /// Throws Poco::Net::NetException when @p address can't be bound.
    EntryServer(SessionContext &context, const Base::HostPort &address, int maxConnections);
    ~EntryServer();
    EntryServer(const EntryServer &) = delete;
    EntryServer &operator=(const EntryServer &) = delete;

    /// Accepts the connections that wait in the queue, then closes the port, so that callers reach no process that is about to exit. Returns when
    /// that is done, or after @p timeoutMs.
    void stopListening(std::int64_t timeoutMs);

private:
    void acceptLoop();
    void acceptNext();
    void serve(const Poco::Net::StreamSocket &socket);
    void onAcceptFailed(const std::string &cause);

    SessionContext &context_;
    Poco::Net::ServerSocket socket_;
    Poco::ThreadPool threads_;
    /// Used by the acceptor's thread only.
    ConnectionRejector rejector_;
    std::atomic<bool> mayListen_{true};
    std::atomic<bool> listening_{true};
    std::atomic<bool> closing_{false};
    std::thread acceptor_;
};

} // namespace Wasabistair::Callers
