#include <doctest/doctest.h>

#include <platform/objectwatcher.h>
#include <standins/fakeobjectstore.h>

#include <atomic>
#include <chrono>
#include <set>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;

namespace {

/// Keeps the names of the objects that a watcher reports.
struct WatcherFixture {
    explicit WatcherFixture(const StalenessCallbacks &staleness = {}, WatchPacing pacing = longWatches, std::size_t pageSize = 50)
        : store(pageSize)
        , watcher("things", {"127.0.0.1", store.port()}, pacing, clock, counters, eras, callbacks(), staleness, circuitBreaker, 1)
    {
        watcher.start();
    }

    ~WatcherFixture()
    {
        // Ends the waiting watch so that the watcher's thread stops soon.
        store.compactHistory();
    }

    WatcherCallbacks callbacks()
    {
        return {[this](const std::vector<StoredObject> &objects) {
                    const std::lock_guard lock(mutex);
                    const bool wasRemoved = !names.empty() && !names.contains("left");
                    names.clear();
                    for (const StoredObject &object : objects) {
                        names.insert(object.name);
                    }
                    reappeared = reappeared || (wasRemoved && names.contains("left"));
                },
            [this](const std::vector<ObjectEvent> &events) {
                const std::lock_guard lock(mutex);
                for (const ObjectEvent &event : events) {
                    if (event.removed) {
                        names.erase(event.object.name);
                    } else {
                        names.insert(event.object.name);
                    }
                }
            },
            [](const std::string &, bool, StoreFailure) {}};
    }

    bool waitFor(const std::set<std::string> &expected, int withinMs)
    {
        for (int waited = 0; waited < withinMs; waited += 10) {
            {
                const std::lock_guard lock(mutex);
                if (names == expected) {
                    return true;
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    static constexpr WatchPacing longWatches{30'000, 0};

    std::mutex mutex;
    std::set<std::string> names;
    /// Whether a list contained "left" after its removal.
    bool reappeared = false;
    StandIns::FakeObjectStore store;
    Base::SystemClock clock;
    StoreCallCounters counters;
    Nodes::StoreEraTracker eras;
    Steering::CircuitBreaker circuitBreaker;
    ObjectWatcher watcher;
};

/// A watcher whose staleness callbacks return what the test sets.
struct StalenessFixture: WatcherFixture {
    explicit StalenessFixture(WatchPacing pacing = longWatches, std::size_t pageSize = 50)
        : WatcherFixture(
            {[this] { return mustReadLatest.load(); }, [this] { return latestRevision.load(); },
                [this](Revision revision, Nodes::StoreEra) { lastRead = revision; }, [this](Revision asOf, Nodes::StoreEra) { latestRevision = asOf; }},
            pacing, pageSize)
    {}

    /// Like waitFor(), but calls wakeIfStale() every 50 ms meanwhile.
    bool waitForWhilePolling(const std::set<std::string> &expected, int withinMs)
    {
        for (int waited = 0; waited < withinMs; waited += 50) {
            watcher.wakeIfStale();
            if (waitFor(expected, 50)) {
                return true;
            }
        }
        return false;
    }

    std::atomic<bool> mustReadLatest{false};
    std::atomic<Revision> latestRevision{0};
    std::atomic<Revision> lastRead{0};
};

/// Its watches end without an event after 100 ms.
struct ShortWatchFixture: StalenessFixture {
    ShortWatchFixture()
        : StalenessFixture({100, 0})
    {}
};

/// Its lists have pages of two objects.
struct PagesFixture: StalenessFixture {
    PagesFixture()
        : StalenessFixture(longWatches, 2)
    {
        for (const std::string name : {"a", "b", "c", "left"}) {
            store.put("things", name, 1);
        }
        REQUIRE(waitFor({"a", "b", "c", "left"}, 5'000));
    }
};

} // namespace

TEST_CASE_FIXTURE(WatcherFixture, "watcher_objectsChange_updatesItsCopy")
{
    store.put("things", "a", 1);
    CHECK(waitFor({"a"}, 5'000));
    store.put("things", "b", 1);
    store.remove("things", "a");
    CHECK(waitFor({"b"}, 5'000));
}

TEST_CASE_FIXTURE(WatcherFixture, "watcher_historyGoesWhileNewsIsHeldBack_findsWhatItMissedLongBeforeTheWatchEnds")
{
    // Guards against a watch that resumes after a broken connection and waits its whole time although its history is gone; on the
    // platform, an evacuation went unnoticed for 8 s.
    store.put("things", "a", 1);
    CHECK(waitFor({"a"}, 5'000));
    store.holdBackWatchEvents();
    store.put("things", "evacuated", 1);
    store.compactHistory();
    CHECK(waitFor({"a", "evacuated"}, 5'000));
}

TEST_CASE_FIXTURE(WatcherFixture, "watcher_storeReachableAgain_isUpToDate")
{
    store.put("things", "a", 1);
    CHECK(waitFor({"a"}, 5'000));
    store.setFaults({.busy = true});
    store.put("things", "b", 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    store.setFaults({});
    CHECK(waitFor({"a", "b"}, 5'000));
}

TEST_CASE_FIXTURE(StalenessFixture, "watcher_cheapAnswersAreOld_findsAChangeThatOthersHaveSeen")
{
    store.put("things", "a", 1);
    CHECK(waitForWhilePolling({"a"}, 5'000));
    const int before = store.latestStateCalls();
    store.freezeStaleReads();
    store.put("things", "b", 1);
    store.remove("things", "a");
    CHECK_FALSE(waitForWhilePolling({"b"}, 300));
    latestRevision = store.revision();
    CHECK(waitForWhilePolling({"b"}, 5'000));
    CHECK(store.latestStateCalls() == before + 1);
    CHECK(lastRead == store.revision());
}

TEST_CASE_FIXTURE(StalenessFixture, "watcher_mustReadLatest_endsStaleWatchAndReadsLatest")
{
    store.put("things", "a", 1);
    CHECK(waitForWhilePolling({"a"}, 5'000));
    CHECK_FALSE(watcher.isReadingLatest());
    store.freezeStaleReads();
    store.put("things", "b", 1);
    mustReadLatest = true;
    CHECK(waitForWhilePolling({"a", "b"}, 5'000));
    CHECK(watcher.isReadingLatest());
    store.put("things", "c", 1);
    CHECK(waitForWhilePolling({"a", "b", "c"}, 5'000));
}

TEST_CASE_FIXTURE(StalenessFixture, "watcher_reportedChangeDoesNotExist_asksTwiceAndContinues")
{
    store.put("things", "a", 1);
    CHECK(waitForWhilePolling({"a"}, 5'000));
    const int before = store.latestStateCalls();
    latestRevision = store.revision() + 1'000;
    CHECK_FALSE(waitForWhilePolling({"never"}, 1'500));
    CHECK(latestRevision == store.revision());
    CHECK(store.latestStateCalls() == before + 2);
    store.put("things", "b", 1);
    CHECK(waitForWhilePolling({"a", "b"}, 5'000));
}

TEST_CASE_FIXTURE(StalenessFixture, "watcher_reportedChangeNotInHistory_listsLatest")
{
    store.put("things", "a", 1);
    CHECK(waitForWhilePolling({"a"}, 5'000));
    store.freezeStaleReads();
    store.holdBackWatchEvents();
    store.put("things", "b", 1);
    const Revision changed = store.revision();
    store.put("others", "x", 1);
    store.compactHistory();
    latestRevision = changed;
    CHECK(waitForWhilePolling({"a", "b"}, 5'000));
}

TEST_CASE_FIXTURE(StalenessFixture, "watcher_cheapListAfterACutIsOlderThanWhatItKnows_isNotTaken")
{
    // Guards against a stale list that restores an upstream that has left.
    store.put("things", "a", 1);
    store.put("things", "left", 1);
    CHECK(waitForWhilePolling({"a", "left"}, 5'000));
    store.freezeStaleReads();
    mustReadLatest = true;
    store.remove("things", "left");
    CHECK(waitForWhilePolling({"a"}, 5'000));
    mustReadLatest = false;
    store.setFaults({.busy = true});
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    store.setFaults({});
    store.put("things", "b", 1);
    CHECK(waitForWhilePolling({"a", "b"}, 5'000));
    CHECK_FALSE(reappeared);
}

// Guards against a list whose second page is older than the copy, and which takes back what the VM knew (review/14).
TEST_CASE_FIXTURE(PagesFixture, "watcher_laterPageAfterACutIsOlderThanWhatItKnows_listIsNotTaken")
{
    store.freezePages(StandIns::FakeObjectStore::Pages::Later);
    store.remove("things", "left");
    REQUIRE(waitFor({"a", "b", "c"}, 5'000));
    const int lists = store.listCalls("things");
    store.setFaults({});
    CHECK(waitForWhilePolling({"a", "b", "c"}, 5'000));
    // Two pages that may be stale, then two of the latest state.
    for (int waited = 0; waited < 5'000 && store.listCalls("things") < lists + 4; waited += 10) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    CHECK(store.listCalls("things") == lists + 4);
    CHECK(waitFor({"a", "b", "c"}, 5'000));
    CHECK_FALSE(reappeared);
}

TEST_CASE_FIXTURE(StalenessFixture, "watcher_readersWatchMissesAReportedChange_isUpToDateLongBeforeTheWatchEnds")
{
    // Guards against a VM that waits for the end of its watch, 13.5 s on the platform, although all its peers have read a newer manifest.
    mustReadLatest = true;
    store.put("things", "a", 1);
    CHECK(waitForWhilePolling({"a"}, 5'000));
    CHECK(watcher.isReadingLatest());
    store.holdBackWatchEvents();
    store.put("things", "b", 1);
    CHECK_FALSE(waitForWhilePolling({"a", "b"}, 300));
    latestRevision = store.revision();
    CHECK(waitForWhilePolling({"a", "b"}, 2'000));
}

TEST_CASE_FIXTURE(ShortWatchFixture, "watcher_watchPassesAChangeThatPeersHaveRead_isUpToDateSoon")
{
    // Guards against a copy that counts as complete up to an answer's revision although the event of a change before it never came.
    mustReadLatest = true;
    store.put("things", "a", 1);
    CHECK(waitForWhilePolling({"a"}, 5'000));
    store.skipWatchEvents();
    store.put("things", "b", 1);
    CHECK_FALSE(waitForWhilePolling({"a", "b"}, 500));
    latestRevision = store.revision();
    CHECK(waitForWhilePolling({"a", "b"}, 2'000));
}
