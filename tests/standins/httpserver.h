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

/// Answers one request.
using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)>;

struct HttpServerSettings {
    /// On loopback; 0 picks one.
    std::uint16_t port = 0;
    int maxThreads = 1;
    bool keepAlive = false;
};

/// HTTP server of a stand-in, with threads of its own, so that no handler is left when it goes.
class HttpServer
{
public:
    HttpServer(const HttpServerSettings &settings, HttpHandler handler);
    ~HttpServer();

    void start();
    /// Ends all connections and waits for the handlers to end.
    void stop();
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] int currentConnections() const;

private:
    std::unique_ptr<Poco::ThreadPool> threads_;
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Wasabistair::StandIns
