#include <doctest/doctest.h>

#include <platform/platformfeed.h>
#include <standins/objectstorestandin.h>
#include <standins/platformobjects.h>

#include <chrono>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;

namespace {

constexpr int upstreamCount = 600;

/// A feed on a store; counts the rosters that it publishes.
struct FeedFixture {
    FeedFixture()
    {
        Json routes = Json::object();
        routes["r"] = StandIns::routeObject("/r/", "safe", 1'000, 2);
        store.put("config", "main", StandIns::manifestObject(1, routes));
        settings.whereabouts = {"vm-1", "north-a", "north", {{"north-a", "north"}}};
        settings.storeAddress = {"127.0.0.1", store.port()};
        feed = std::make_unique<PlatformFeed>(settings, clock, counters, news,
            FeedCallbacks{[this](std::shared_ptr<const Steering::Roster> roster) {
                              const std::lock_guard lock(mutex);
                              ++published;
                              present = std::move(roster);
                          },
                [](const auto &) {}, [] {}},
            1);
    }

    ~FeedFixture()
    {
        // Ends waiting watches, so that the feed's threads end soon.
        store.forgetHistory();
    }

    [[nodiscard]] std::size_t upstreams() const
    {
        const std::lock_guard lock(mutex);
        const auto service = present ? present->services.find("svc") : decltype(present->services.find("svc"))();
        return present && service != present->services.end() ? service->second->upstreams.size() : 0;
    }

    [[nodiscard]] bool becomes(std::size_t count) const
    {
        for (int i = 0; i < 1'000; ++i) {
            if (upstreams() == count) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    using Json = nlohmann::json;

    StandIns::ObjectStoreStandIn store;
    MachineSettings settings;
    Base::SystemClock clock;
    StoreCallCounters counters;
    Nodes::NewsLedger news{clock.monotonic()};
    mutable std::mutex mutex;
    int published = 0;
    std::shared_ptr<const Steering::Roster> present;
    std::unique_ptr<PlatformFeed> feed;
};

} // namespace

TEST_CASE_FIXTURE(FeedFixture, "feed_hundredsOfUpstreamsJoinAtOnce_buildsARosterForEachBatchOnly")
{
    // Load pattern: 897 upstreams register within seconds at 195 VMs; a roster for each of them took 0.9 s of a core a VM.
    store.put("servers", "u-first", StandIns::upstreamObject(80, "north-a", "ready"));
    feed->start();
    REQUIRE(becomes(1));
    store.holdBackNews();
    for (int i = 0; i < upstreamCount; ++i) {
        store.put("servers", "u-" + std::to_string(i), StandIns::upstreamObject(80, "north-a", "ready"));
    }
    int before = 0;
    {
        const std::lock_guard lock(mutex);
        before = published;
    }
    store.releaseNews();
    REQUIRE(becomes(upstreamCount + 1));
    const std::lock_guard lock(mutex);
    CHECK(published - before <= 5);
}
