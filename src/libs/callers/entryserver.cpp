#include "entryserver.h"

#include <base/log.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Runnable.h>
#include <Poco/Timespan.h>

namespace Wasabistair::Callers {

namespace {

// Callers come back all at once after an outage; a full queue makes them wait for seconds.
constexpr int backlog = 1024;
constexpr int keptThreads = 8;
constexpr int idleThreadSeconds = 20;
// Sessions keep bodies on the heap; their frames are small.
constexpr int stackBytes = 256 * 1024;
constexpr std::int64_t acceptWaitMs = 1'000;

/// One connection as a task of the thread pool; deletes itself when it has run.
class SessionTask: public Poco::Runnable
{
public:
    SessionTask(SessionContext &context, const Poco::Net::StreamSocket &socket)
        : context_(context)
        , socket_(socket)
    {}

    void run() override
    {
        context_.pass.metrics.connections().Increment();
        try {
            CallerSession session(context_, socket_);
            session.run();
        } catch (const std::exception &error) {
            Base::log(Base::LogLevel::Error, "session-failed", {{"cause", error.what()}});
        }
        context_.pass.metrics.connections().Decrement();
        delete this;
    }

private:
    SessionContext &context_;
    Poco::Net::StreamSocket socket_;
};

} // namespace

EntryServer::EntryServer(SessionContext &context, const Base::HostPort &address, int maxConnections)
    : context_(context)
    , threads_(keptThreads, maxConnections, idleThreadSeconds, stackBytes)
{
    socket_.bind(Poco::Net::SocketAddress(address.host, address.port), true);
    socket_.listen(backlog);
    acceptor_ = std::thread([this] { acceptLoop(); });
}

EntryServer::~EntryServer()
{
    closing_ = true;
    acceptor_.join();
    threads_.stopAll();
}

void EntryServer::acceptLoop()
{
    while (!closing_) {
        try {
            if (socket_.poll(Poco::Timespan(acceptWaitMs * Poco::Timespan::MILLISECONDS), Poco::Net::Socket::SELECT_READ)) {
                serve(socket_.acceptConnection());
            }
        } catch (const Poco::Exception &error) {
            // Out of descriptors, or the caller is gone already; the next one may do better.
            Base::log(Base::LogLevel::Warning, "accept-failed", {{"cause", error.displayText()}});
        }
    }
}

void EntryServer::serve(const Poco::Net::StreamSocket &socket)
{
    auto *task = new SessionTask(context_, socket);
    try {
        threads_.start(*task);
    } catch (const Poco::NoThreadAvailableException &) {
        delete task;
        context_.pass.metrics.countConnectionRefused();
    }
}

} // namespace Wasabistair::Callers
