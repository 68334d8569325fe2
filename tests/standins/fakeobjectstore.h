#pragma once

#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Wasabistair::StandIns {

/// In-memory fake of the users' platform's object store, with objects by kind and name: paged lists, watches, conditional writes and faults.
class FakeObjectStore
{
public:
    struct Faults {
        /// Answers every call with status 503.
        bool busy = false;
        /// The next write is executed and its connection is then closed without an answer.
        bool loseWriteAnswers = false;
        /// Number of upcoming calls that are answered with status 429.
        int rateLimited = 0;
    };

    /// A list call returns at most @p pageSize objects.
    explicit FakeObjectStore(std::size_t pageSize = 50);
    ~FakeObjectStore();

    [[nodiscard]] std::uint16_t port() const;
    void put(const std::string &kind, const std::string &name, const nlohmann::json &spec);
    /// Like put(), with a spec that need not be JSON: answers contain @p spec as it is.
    void putRaw(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);
    /// Also closes the connections of waiting watches.
    void setFaults(const Faults &faults);
    /// While silent, the store drops every call that reaches it, for ever. Watches that it received before are answered.
    void setSilent(bool silent);
    /// Withholds changes from watches until releaseWatchEvents() or compactHistory().
    void holdBackWatchEvents();
    void releaseWatchEvents();
    /// From now on, changes appear in lists only; the answers of watches pass their revisions without the events.
    void skipWatchEvents();
    /// Delays answers to lists of @p kind until releaseLists().
    void holdBackLists(const std::string &kind);
    void releaseLists();
    /// From now on, lists and watches that allow stale answers return no changes made after this call.
    void freezeStaleReads();
    enum class Pages { First, Later };
    /// From now on, these pages of lists that allow stale answers show no changes made after this call; other pages and watches do.
    void freezePages(Pages pages);
    /// Ends freezeStaleReads() or freezePages().
    void thawStaleReads();
    /// Discards the history of changes and closes the connections of waiting watches. A watch from an older revision than the
    /// current one gets status 410, but only after the next change of its kind.
    void compactHistory();
    /// From now on, all answers state the store's era, which is 1 at first, and each change is kept as a copy.
    void stateEras();
    /// Goes back to the newest copy that is at least @p ageMs old, or to the oldest one: later changes are gone, their revisions are given
    /// out again, the era rises by one and waiting watches lose their connections. A watch from a later revision gets status 410.
    void restoreOlder(std::int64_t ageMs);
    /// Like restoreOlder(), to the newest copy of @p revision or before.
    void restoreRevision(std::uint64_t revision);
    [[nodiscard]] bool contains(const std::string &kind, const std::string &name) const;
    [[nodiscard]] int listCalls(const std::string &kind) const;
    /// Whether a watch of @p kind waits for a change.
    [[nodiscard]] bool hasWaitingWatch(const std::string &kind) const;
    /// Number of calls that were dropped while the store was silent.
    [[nodiscard]] int droppedCalls() const;
    /// Revision of the last change.
    [[nodiscard]] std::uint64_t revision() const;
    /// Number of calls of any kind without serializable=1, which ask for the latest state. A watch counts as one call.
    [[nodiscard]] int latestStateCalls() const;

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
        /// Never returned by watches.
        bool skipped = false;
    };

    /// State after one change.
    struct Copy {
        std::int64_t atMs = 0;
        std::uint64_t revision = 0;
        std::map<std::string, std::map<std::string, Object>> objects;
    };

    /// Goes back to the newest copy that @p suits, or to the oldest one.
    void restore(const std::function<bool(const Copy &)> &suits);
    /// Drops the call if the store is silent: returns true when the connection is to be closed.
    [[nodiscard]] bool dropIfSilent();
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Whether a list that allows stale answers shows the frozen state on the page @p after that name.
    [[nodiscard]] bool isFrozenPage(const std::string &after) const;
    void list(const std::string &kind, const std::string &after, bool stale, Poco::Net::HTTPServerResponse &response);
    void watch(
        const std::string &kind, std::uint64_t since, int waitMs, bool stale, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    void write(const std::string &kind, const std::string &name, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);
    /// Applies a change and appends it to the history. The mutex must be locked.
    void change(const std::string &kind, const std::string &name, bool removed, const nlohmann::json &spec);
    [[nodiscard]] nlohmann::json objectJson(const std::string &name, const Object &object) const;
    void answer(Poco::Net::HTTPServerResponse &response, int status, const nlohmann::json &body) const;

    const std::size_t pageSize_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    Faults faults_;
    bool stopping_ = false;
    bool silent_ = false;
    bool watchEventsHeld_ = false;
    bool watchEventsSkipped_ = false;
    /// Kind whose lists are not answered; empty for none.
    std::string heldListKind_;
    std::uint64_t revision_ = 1;
    /// Changes up to this revision are no longer in the history.
    std::uint64_t compactedRevision_ = 0;
    /// Waiting watches close their connection when this number changes.
    std::uint64_t watchResets_ = 0;
    std::map<std::string, std::map<std::string, Object>> objects_;
    /// Specs that are not JSON, by the text that stands for them in objects_.
    std::map<std::string, std::string> rawSpecs_;
    std::map<std::string, int> listCalls_;
    /// Number of waiting watches of each kind.
    std::map<std::string, int> waitingWatches_;
    int latestCalls_ = 0;
    int droppedCalls_ = 0;
    /// State that stale answers show; empty until freezeStaleReads().
    std::optional<std::map<std::string, std::map<std::string, Object>>> staleObjects_;
    std::uint64_t staleRevision_ = 0;
    /// Pages of lists that show that state; without a value, all pages and watches do.
    std::optional<Pages> frozenPages_;
    std::deque<Change> history_;
    /// 0: answers state no era.
    std::uint64_t era_ = 0;
    std::deque<Copy> copies_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace Wasabistair::StandIns
