#include "infoserver.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

namespace Wasabistair::App {

namespace {

using Respond = std::function<InfoAnswer(const std::string &)>;

constexpr int backlog = 256;
constexpr int keepAliveSeconds = 5;
constexpr int maxQueuedConnections = 512;

class Handler: public Poco::Net::HTTPRequestHandler
{
public:
    explicit Handler(const Respond &respond)
        : respond_(respond)
    {}

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        const InfoAnswer answer = respond_(request.getURI());
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
        response.setContentType(answer.contentType);
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

private:
    const Respond &respond_;
};

class HandlerFactory: public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit HandlerFactory(Respond respond)
        : respond_(std::move(respond))
    {}

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new Handler(respond_);
    }

private:
    const Respond respond_;
};

} // namespace

InfoServer::InfoServer(const Base::HostPort &address, int maxThreads, Respond respond)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address.host, address.port), true);
    socket.listen(backlog);
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(maxThreads);
    params->setMaxQueued(maxQueuedConnections);
    params->setKeepAlive(true);
    params->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
    server_ = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(std::move(respond)), socket, params);
    server_->start();
}

InfoServer::~InfoServer()
{
    server_->stopAll(true);
}

} // namespace Wasabistair::App
