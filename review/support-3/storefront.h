#pragma once

#include "record.h"

#include <standins/httpserver.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace Wasabistair::Review {

/// Address of a store of several members, which passes each call on to one of them. All hold what the fake store holds; one of them may be
/// seconds behind and answers the later pages of lists that allow this.
class StoreFront
{
public:
    /// @p kind: objects of which lists have several pages.
    StoreFront(std::uint16_t storePort, std::string kind, Record &record);
    ~StoreFront();
    StoreFront(const StoreFront &) = delete;
    StoreFront &operator=(const StoreFront &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    /// From now on, later pages are as they were @p milliseconds before; 0: as they are.
    void setLaterPagesAge(std::int64_t milliseconds);
    /// Number of later pages that were answered with an older state.
    [[nodiscard]] int olderPages() const;

private:
    struct Page {
        std::int64_t atMs = 0;
        int status = 0;
        std::string era;
        std::string body;
    };

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    [[nodiscard]] Page call(const std::string &method, const std::string &target, const std::string &body) const;
    [[nodiscard]] bool isLaterPage(const std::string &target) const;
    void keepPages();

    const std::uint16_t storePort_;
    const std::string kind_;
    Record &record_;
    std::atomic<std::int64_t> laterPagesAgeMs_{0};
    std::atomic<int> olderPages_{0};
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    /// Target of the calls for the later page, once one was seen.
    std::string laterTarget_;
    std::deque<Page> pages_;
    StandIns::HttpServer server_;
    std::thread keeper_;
};

} // namespace Wasabistair::Review
