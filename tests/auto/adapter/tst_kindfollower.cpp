#include <doctest/doctest.h>

#include <platform/kindfollower.h>
#include <standins/objectstorestandin.h>

#include <atomic>
#include <chrono>
#include <set>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;

namespace {

/// Keeps what a follower tells as a set of names.
struct FollowerFixture {
    explicit FollowerFixture(const FollowerNews &news = {})
        : follower("things", {"127.0.0.1", store.port()}, pace, clock, counters, callbacks(), news, gate, 1)
    {
        follower.start();
    }

    ~FollowerFixture()
    {
        // Ends the waiting watch, so that the follower's thread ends soon.
        store.forgetHistory();
    }

    FollowerCallbacks callbacks()
    {
        return {[this](const std::vector<StoredObject> &objects) {
                    const std::lock_guard lock(mutex);
                    const bool knewItGone = !names.empty() && !names.contains("left");
                    names.clear();
                    for (const StoredObject &object : objects) {
                        names.insert(object.name);
                    }
                    sawAgain = sawAgain || (knewItGone && names.contains("left"));
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

    bool becomes(const std::set<std::string> &expected, int withinMs)
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

    static constexpr FollowerPace pace{30'000, 0};

    std::mutex mutex;
    std::set<std::string> names;
    /// A list named "left" after it was known to be gone.
    bool sawAgain = false;
    StandIns::ObjectStoreStandIn store;
    Base::SystemClock clock;
    StoreCallCounters counters;
    Steering::OutageGate gate;
    KindFollower follower;
};

/// A follower that hears of changes from others, and reads the latest state when it must.
struct GuidedFixture: FollowerFixture {
    GuidedFixture()
        : FollowerFixture({[this] { return mustRead.load(); }, [this] { return newest.load(); }, [this](Revision revision) { read = revision; },
            [this](Revision asOf) { newest = asOf; }})
    {}

    /// Waits as becomes() does while the follower is checked.
    bool becomesChecked(const std::set<std::string> &expected, int withinMs)
    {
        for (int waited = 0; waited < withinMs; waited += 50) {
            follower.check();
            if (becomes(expected, 50)) {
                return true;
            }
        }
        return false;
    }

    std::atomic<bool> mustRead{false};
    std::atomic<Revision> newest{0};
    std::atomic<Revision> read{0};
};

} // namespace

TEST_CASE_FIXTURE(FollowerFixture, "follower_changes_areFollowed")
{
    store.put("things", "a", 1);
    CHECK(becomes({"a"}, 5'000));
    store.put("things", "b", 1);
    store.remove("things", "a");
    CHECK(becomes({"b"}, 5'000));
}

TEST_CASE_FIXTURE(FollowerFixture, "follower_historyGoesWhileNewsIsHeldBack_findsWhatItMissedLongBeforeTheWatchEnds")
{
    // Seen on the platform: a watch that went on after a cut waited its whole time although its history was gone, so an
    // evacuation stayed unknown for 8 s.
    store.put("things", "a", 1);
    CHECK(becomes({"a"}, 5'000));
    store.holdBackNews();
    store.put("things", "evacuated", 1);
    store.forgetHistory();
    CHECK(becomes({"a", "evacuated"}, 5'000));
}

TEST_CASE_FIXTURE(FollowerFixture, "follower_storeComesBack_isUpToDateAgain")
{
    store.put("things", "a", 1);
    CHECK(becomes({"a"}, 5'000));
    store.setFaults({.busy = true});
    store.put("things", "b", 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    store.setFaults({});
    CHECK(becomes({"a", "b"}, 5'000));
}

TEST_CASE_FIXTURE(GuidedFixture, "follower_cheapAnswersAreOld_findsAChangeThatOthersHaveSeen")
{
    store.put("things", "a", 1);
    CHECK(becomesChecked({"a"}, 5'000));
    const int before = store.latestCalls();
    store.freezeStaleAnswers();
    store.put("things", "b", 1);
    store.remove("things", "a");
    CHECK_FALSE(becomesChecked({"b"}, 300));
    newest = store.revision();
    CHECK(becomesChecked({"b"}, 5'000));
    CHECK(store.latestCalls() == before + 1);
    CHECK(read == store.revision());
}

TEST_CASE_FIXTURE(GuidedFixture, "follower_mustRead_leavesItsCheapWatchAndAsksForTheLatest")
{
    store.put("things", "a", 1);
    CHECK(becomesChecked({"a"}, 5'000));
    CHECK_FALSE(follower.isReading());
    store.freezeStaleAnswers();
    store.put("things", "b", 1);
    mustRead = true;
    CHECK(becomesChecked({"a", "b"}, 5'000));
    CHECK(follower.isReading());
    store.put("things", "c", 1);
    CHECK(becomesChecked({"a", "b", "c"}, 5'000));
}

TEST_CASE_FIXTURE(GuidedFixture, "follower_hearsOfAChangeThatNeverWas_asksOnceAndGoesOn")
{
    store.put("things", "a", 1);
    CHECK(becomesChecked({"a"}, 5'000));
    const int before = store.latestCalls();
    newest = store.revision() + 1'000;
    CHECK_FALSE(becomesChecked({"never"}, 1'500));
    CHECK(newest == store.revision());
    CHECK(store.latestCalls() == before + 1);
    store.put("things", "b", 1);
    CHECK(becomesChecked({"a", "b"}, 5'000));
}

TEST_CASE_FIXTURE(GuidedFixture, "follower_knownChangeIsInNoHistory_listsTheLatest")
{
    store.put("things", "a", 1);
    CHECK(becomesChecked({"a"}, 5'000));
    store.freezeStaleAnswers();
    store.holdBackNews();
    store.put("things", "b", 1);
    const Revision changed = store.revision();
    store.put("others", "x", 1);
    store.forgetHistory();
    newest = changed;
    CHECK(becomesChecked({"a", "b"}, 5'000));
}

TEST_CASE_FIXTURE(GuidedFixture, "follower_cheapListAfterACutIsOlderThanWhatItKnows_isNotTaken")
{
    // An upstream that has left must not come back because the store's cheap answers are old.
    store.put("things", "a", 1);
    store.put("things", "left", 1);
    CHECK(becomesChecked({"a", "left"}, 5'000));
    store.freezeStaleAnswers();
    mustRead = true;
    store.remove("things", "left");
    CHECK(becomesChecked({"a"}, 5'000));
    mustRead = false;
    store.setFaults({.busy = true});
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    store.setFaults({});
    store.put("things", "b", 1);
    CHECK(becomesChecked({"a", "b"}, 5'000));
    CHECK_FALSE(sawAgain);
}
