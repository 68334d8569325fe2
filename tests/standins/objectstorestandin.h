#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Wasabistair::StandIns {

/// Store of objects by kind and name, as the users' platform serves it: pages, watches, conditional writes, and its faults.
class ObjectStoreStandIn
{
public:
    struct Faults {
        /// Answers 503 to everything.
        bool busy = false;
        /// Writes are done and not answered.
        bool loseWriteAnswers = false;
        /// Answers 429 to so many calls.
        int rateLimited = 0;
    };

    explicit ObjectStoreStandIn(std::size_t pageSize = 50);
    ~ObjectStoreStandIn();

    [[nodiscard]] std::uint16_t port() const;
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    void remove(const std::string &kind, const std::string &name);
    void setFaults(const Faults &faults);
    /// Changes aren't told to watches until releaseNews() or forgetHistory().
    void holdBackNews();
    void releaseNews();
    /// Lists of @p kind aren't answered until releaseLists().
    void holdBackLists(const std::string &kind);
    void releaseLists();
    /// Calls that allow stale answers see no later change than those made so far.
    void freezeStaleAnswers();
    /// Forgets all changes and cuts waiting watches. Only a watch behind the present revision is told that it missed some,
    /// and not before something of its kind changes.
    void forgetHistory();
    [[nodiscard]] bool contains(const std::string &kind, const std::string &name) const;
    [[nodiscard]] int listCalls(const std::string &kind) const;
    /// Revision of the last change.
    [[nodiscard]] std::uint64_t revision() const;
    /// Calls of any kind that asked for the latest state, a watch as one.
    [[nodiscard]] int latestCalls() const;

private:
    struct Object {
        std::uint64_t revision = 0;
        nlohmann::json spec;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool removed = false;
        nlohmann::json spec;
    };

    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Objects of a kind as a call sees them.
    [[nodiscard]] const std::map<std::string, Object> &objectsOf(const std::string &kind, bool stale);
    void list(const std::string &kind, const std::string &after, bool stale, Poco::Net::HTTPServerResponse &response);
    void watch(
        const std::string &kind, std::uint64_t since, int waitMs, bool stale, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void write(const std::string &kind, const std::string &name, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void change(const std::string &kind, const std::string &name, bool removed, const nlohmann::json &spec);
    [[nodiscard]] nlohmann::json objectJson(const std::string &name, const Object &object) const;

    const std::size_t pageSize_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    Faults faults_;
    bool stopping_ = false;
    bool watchEventsHeld_ = false;
    /// Kind whose lists aren't answered; empty for none.
    std::string heldListKind_;
    std::uint64_t revision_ = 1;
    std::uint64_t compactedRevision_ = 0;
    std::uint64_t watchResets_ = 0;
    std::map<std::string, std::map<std::string, Object>> objects_;
    std::map<std::string, int> listCalls_;
    int latestCalls_ = 0;
    /// State that stale answers show; nothing while they are as fresh as others.
    std::optional<std::map<std::string, std::map<std::string, Object>>> staleObjects_;
    std::uint64_t staleRevision_ = 0;
    std::deque<Change> history_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace Wasabistair::StandIns
