#pragma once

#include <base/settings.h>

#include <Poco/Net/HTTPServer.h>

#include <compare>
#include <functional>
#include <memory>
#include <string>

namespace Wasabistair::App {

struct InfoAnswer {
    int status = 200;
    std::string contentType = "text/plain";
    std::string body;

    auto operator<=>(const InfoAnswer &) const = default;
};

/// Small HTTP server for requests that are answered from memory: readiness checks, look-ups, metrics.
class InfoServer
{
public:
    /// @p respond receives the request target and is called from up to @p maxThreads threads. Throws Poco::Net::NetException if the
    /// address can't be bound.
    InfoServer(const Base::HostPort &address, int maxThreads, std::function<InfoAnswer(const std::string &target)> respond);
    ~InfoServer();

private:
    std::unique_ptr<Poco::Net::HTTPServer> server_;
};

} // namespace Wasabistair::App
