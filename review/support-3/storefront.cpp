#include "storefront.h"

#include "smallfleet.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/Timespan.h>

#include <utility>

namespace Wasabistair::Review {

namespace {

// Each watch of each VM occupies a thread while it waits.
constexpr int maxThreads = 256;
// Longer than the longest watch.
constexpr int callTimeoutS = 40;
constexpr std::int64_t keepIntervalMs = 100;
constexpr std::int64_t keptMs = 20'000;
const std::string eraHeader = "Store-Era";

} // namespace

StoreFront::StoreFront(std::uint16_t storePort, std::string kind, Record &record)
    : storePort_(storePort)
    , kind_(std::move(kind))
    , record_(record)
    , server_({0, maxThreads, true}, [this](Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) { handle(request, response); })
{
    server_.start();
    keeper_ = std::thread([this] { keepPages(); });
}

StoreFront::~StoreFront()
{
    stopping_ = true;
    keeper_.join();
    server_.stop();
}

std::uint16_t StoreFront::port() const
{
    return server_.port();
}

void StoreFront::setLaterPagesAge(std::int64_t milliseconds)
{
    laterPagesAgeMs_ = milliseconds;
}

int StoreFront::olderPages() const
{
    return olderPages_;
}

StoreFront::Page StoreFront::call(const std::string &method, const std::string &target, const std::string &body) const
{
    Poco::Net::HTTPClientSession session("127.0.0.1", storePort_);
    session.setTimeout(Poco::Timespan(callTimeoutS, 0));
    Poco::Net::HTTPRequest request(method, target, Poco::Net::HTTPRequest::HTTP_1_1);
    if (!body.empty()) {
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    }
    session.sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse response;
    Page page;
    page.atMs = nowMs();
    Poco::StreamCopier::copyToString(session.receiveResponse(response), page.body);
    page.status = response.getStatus();
    page.era = response.get(eraHeader, "");
    return page;
}

bool StoreFront::isLaterPage(const std::string &target) const
{
    const std::string start = "/objects/" + kind_ + "?after=";
    return target.starts_with(start) && target.size() > start.size() && target.at(start.size()) != '&' && target.find("serializable=1") != std::string::npos;
}

void StoreFront::keepPages()
{
    while (!stopping_) {
        std::string target;
        {
            const std::lock_guard lock(mutex_);
            target = laterTarget_;
        }
        if (!target.empty()) {
            Page page = call("GET", target, "");
            const std::lock_guard lock(mutex_);
            pages_.push_back(std::move(page));
            while (pages_.front().atMs < nowMs() - keptMs) {
                pages_.pop_front();
            }
        }
        sleepMs(keepIntervalMs);
    }
}

void StoreFront::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    const std::string target = request.getURI();
    Page page;
    try {
        page = call(request.getMethod(), target, body);
    } catch (const Poco::Exception &) {
        // The member cut the call off.
        dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket().shutdown();
        return;
    }
    if (isLaterPage(target)) {
        const std::lock_guard lock(mutex_);
        laterTarget_ = target;
        const std::int64_t ageMs = laterPagesAgeMs_;
        const std::int64_t before = nowMs() - ageMs;
        for (auto kept = pages_.rbegin(); ageMs > 0 && kept != pages_.rend(); ++kept) {
            if (kept->atMs <= before) {
                record_.write("store    a later page is as it was " + std::to_string(nowMs() - kept->atMs) + " ms before");
                page = *kept;
                ++olderPages_;
                break;
            }
        }
    }
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(page.status));
    response.setContentType("application/json");
    if (!page.era.empty()) {
        response.set(eraHeader, page.era);
    }
    response.sendBuffer(page.body.data(), page.body.size());
}

} // namespace Wasabistair::Review
