#include "entryserver.h"

#include <base/log.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Runnable.h>
#include <Poco/Timespan.h>

#include <chrono>
#include <memory>

namespace Wasabistair::Callers {

namespace {

// After an outage all callers reconnect at once; a full accept queue would delay their connections by seconds.
constexpr int backlog = 1024;
constexpr int minThreads = 8;
constexpr int threadIdleSeconds = 20;
// Small stacks suffice because sessions keep bodies on the heap.
constexpr int stackBytes = 256 * 1024;
constexpr std::int64_t acceptPollMs = 1'000;
// The same while the process stops, so that the port can be closed soon.
constexpr std::int64_t stoppingPollMs = 50;
// The same while there are connections to reject.
constexpr std::int64_t rejectPollMs = 10;
// How often a thread that waits for the port to be closed looks.
constexpr std::int64_t closePollMs = 5;
// Pause after a failed accept. Without a free file descriptor the connection stays in the queue, and the socket stays readable.
constexpr std::int64_t acceptRetryMs = 20;

/// Serves one connection as a task of the thread pool; deletes itself at the end of run().
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
    , threads_(minThreads, maxConnections, threadIdleSeconds, stackBytes)
    , rejector_(context.pass.clock)
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

void EntryServer::stopListening(std::int64_t timeoutMs)
{
    mayListen_ = false;
    const Base::MonotonicMs end = context_.pass.clock.monotonic() + timeoutMs;
    while (listening_ && context_.pass.clock.monotonic() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(closePollMs));
    }
}

void EntryServer::acceptLoop()
{
    while (!closing_) {
        try {
            if (listening_) {
                acceptNext();
            } else {
                std::this_thread::sleep_for(std::chrono::milliseconds(rejectPollMs));
            }
            rejector_.poll();
        } catch (const Poco::Exception &error) {
            onAcceptFailed(error.displayText());
        } catch (const std::exception &error) {
            onAcceptFailed(error.what());
        }
    }
}

void EntryServer::acceptNext()
{
    const bool mayListen = mayListen_;
    const std::int64_t idlePollMs = context_.intake.isStopping() ? stoppingPollMs : acceptPollMs;
    const std::int64_t pollMs = !mayListen ? 0 : rejector_.isEmpty() ? idlePollMs : rejectPollMs;
    if (socket_.poll(Poco::Timespan(pollMs * Poco::Timespan::MILLISECONDS), Poco::Net::Socket::SELECT_READ)) {
        serve(socket_.acceptConnection());
    } else if (!mayListen) {
        socket_.close();
        listening_ = false;
    }
}

void EntryServer::onAcceptFailed(const std::string &cause)
{
    // No file descriptor or memory is free, or the caller has already disconnected; later connections may still be accepted.
    if (context_.pass.failureLog.tryAcquire()) {
        Base::log(Base::LogLevel::Warning, "accept-failed", {{"cause", cause}});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(acceptRetryMs));
}

void EntryServer::serve(const Poco::Net::StreamSocket &socket)
{
    auto task = std::make_unique<SessionTask>(context_, socket);
    try {
        threads_.start(*task);
        // Runs now, and deletes itself.
        (void)task.release();
    } catch (const std::exception &error) {
        // All threads are in use, or the system starts no further one.
        rejector_.add(socket);
        context_.pass.metrics.countConnectionRefused();
        if (context_.pass.failureLog.tryAcquire()) {
            Base::log(Base::LogLevel::Warning, "connection-refused", {{"cause", error.what()}, {"threads", threads_.allocated()}});
        }
    }
}

} // namespace Wasabistair::Callers
