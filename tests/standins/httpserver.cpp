#include "httpserver.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

#include <utility>

namespace Wasabistair::StandIns {

namespace {

constexpr int backlog = 512;

class Handler: public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(const HttpHandler &handler)
        : handler_(handler)
    {}

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        handler_(request, response);
    }

private:
    const HttpHandler &handler_;
};

class Factory: public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit Factory(HttpHandler handler)
        : handler_(std::move(handler))
    {}

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new Handler(handler_);
    }

private:
    const HttpHandler handler_;
};

} // namespace

HttpServer::HttpServer(const HttpServerSettings &settings, HttpHandler handler)
    : threads_(std::make_unique<Poco::ThreadPool>(1, settings.maxThreads))
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress("127.0.0.1", settings.port), true, false);
    socket.listen(backlog);
    auto *params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(settings.maxThreads);
    params->setMaxQueued(settings.maxThreads);
    params->setKeepAlive(settings.keepAlive);
    params->setMaxKeepAliveRequests(0);
    server_ = std::make_unique<Poco::Net::HTTPServer>(new Factory(std::move(handler)), *threads_, socket, params);
}

HttpServer::~HttpServer() = default;

void HttpServer::start()
{
    server_->start();
}

void HttpServer::stop()
{
    server_->stopAll(true);
    threads_->joinAll();
}

std::uint16_t HttpServer::port() const
{
    return server_->port();
}

int HttpServer::currentConnections() const
{
    return server_->currentConnections();
}

} // namespace Wasabistair::StandIns
