#pragma once

#include <cstdint>
#include <functional>
#include <memory>

namespace Poco {
class ThreadPool;
}

namespace Poco::Net {
class HTTPServer;
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace Wasabistair::StandIns {

/// Handles one request on a thread of the server.
using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

struct HttpServerSettings {
    /// Loopback port; 0 picks a free one.
    std::uint16_t port = 0;
    int maxThreads = 1;
    bool keepAlive = false;
};

/// HTTP server of the fakes. It owns its thread pool, so that no handler still runs when the server is destroyed.
class HttpServer
{
public:
    HttpServer(const HttpServerSettings &settings, HttpHandler handler);
    ~HttpServer();

    void start();
    /// Closes all connections and waits until all handlers have returned.
    void stop();
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] int currentConnections() const;

private:
    std::unique_ptr<Poco::ThreadPool> threads_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Wasabistair::StandIns
