#include "callerserver.h"

#include <http/recordingsocket.h>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Thread.h>

namespace Wasabistair::Callers {

namespace {

/// By default POCO lets several processes listen on one port, and callers would reach any one of them.
constexpr bool sharePort = false;

constexpr int backlog = 512;
constexpr int minThreads = 4;
constexpr int stackBytes = 256 * 1024;
constexpr int threadIdleSeconds = 60;
constexpr std::int64_t drainPollMs = 20;

/// ServerSocket with a given implementation; the base class has only a protected constructor for that.
class CustomServerSocket: public Poco::Net::ServerSocket
{
public:
    explicit CustomServerSocket(Poco::Net::SocketImpl *implementation)
        : Poco::Net::ServerSocket(implementation, true)
    {}
};

class ConnectionFactory: public Poco::Net::TCPServerConnectionFactory
{
public:
    using Create = std::function<Poco::Net::TCPServerConnection *(const Poco::Net::StreamSocket &)>;

    explicit ConnectionFactory(Create create)
        : create_(std::move(create))
    {}

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return create_(socket);
    }

private:
    const Create create_;
};

} // namespace

CallerServer::CallerServer(const Base::HostPort &address, RequestHandler handler, ConnectionLimits limits, const Base::Clock &clock)
    : handler_(std::move(handler))
    , limits_(limits)
    , clock_(clock)
    , threads_(minThreads, limits.maxConnections, threadIdleSeconds, stackBytes)
{
    CustomServerSocket socket(new Http::RecordingServerSocketImpl(clock_));
    socket.bind(Poco::Net::SocketAddress(address.host, address.port), true, sharePort);
    socket.listen(backlog);
    auto *params = new Poco::Net::TCPServerParams;
    params->setMaxThreads(limits_.maxConnections);
    params->setMaxQueued(backlog);
    params->setThreadIdleTime(Poco::Timespan(threadIdleSeconds, 0));
    const auto create = [this](const Poco::Net::StreamSocket &accepted) {
        return new CallerConnection(accepted, handler_, limits_, clock_, [this] { return stopping_.load(std::memory_order_relaxed); });
    };
    server_ = std::make_unique<Poco::Net::TCPServer>(new ConnectionFactory(create), threads_, socket, params);
}

CallerServer::~CallerServer()
{
    server_->stop();
    threads_.joinAll();
}

void CallerServer::start()
{
    server_->start();
}

void CallerServer::drain()
{
    stopping_.store(true, std::memory_order_relaxed);
    server_->stop();
}

bool CallerServer::waitUntilDrained(std::int64_t milliseconds)
{
    const Base::MonotonicMs end = clock_.monotonic() + milliseconds;
    while (server_->currentConnections() > 0 || server_->queuedConnections() > 0) {
        if (clock_.monotonic() >= end) {
            return false;
        }
        Poco::Thread::sleep(drainPollMs);
    }
    return true;
}

int CallerServer::connections() const
{
    return server_->currentConnections();
}

} // namespace Wasabistair::Callers
