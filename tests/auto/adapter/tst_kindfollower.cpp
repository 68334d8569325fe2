#include <doctest/doctest.h>

#include <platform/kindfollower.h>
#include <standins/objectstorestandin.h>

#include <chrono>
#include <set>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;

namespace {

/// Keeps what a follower tells as a set of names.
struct FollowerFixture {
    FollowerFixture()
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
                    names.clear();
                    for (const StoredObject &object : objects) {
                        names.insert(object.name);
                    }
                },
            [this](const ObjectEvent &event) {
                const std::lock_guard lock(mutex);
                if (event.removed) {
                    names.erase(event.object.name);
                } else {
                    names.insert(event.object.name);
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
    StandIns::ObjectStoreStandIn store;
    Base::SystemClock clock;
    StoreCallCounters counters;
    KindFollower follower{"things", {"127.0.0.1", store.port()}, pace, clock, counters, callbacks(), 1};
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
