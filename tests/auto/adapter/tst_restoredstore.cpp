#include <doctest/doctest.h>

#include <platform/platformfeed.h>
#include <platform/registration.h>
#include <standins/fakeobjectstore.h>
#include <standins/platformobjects.h>
#include <standins/scriptedupstream.h>

#include <chrono>
#include <functional>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;

namespace {

using Json = nlohmann::json;

/// Changes must be in force within this time.
constexpr int boundMs = 2'500;

/// A VM that reads the store's latest state, and a store that can come back from an older copy. The VM knows upstreams u-1 and u-ends, two
/// registered VMs and manifest 1.
struct RestoredStoreFixture {
    RestoredStoreFixture()
        : revisions(clock.monotonic() - 60'000)
    {
        store.stateEras();
        putManifest(1);
        putUpstream("u-1", "ready");
        putUpstream("u-ends", "ready");
        putVm("vm-2");
        settings.locality = {"vm-1", "north-a", "north", {{"north-a", "north"}, {"north-b", "north"}}};
        settings.storeAddress = {"127.0.0.1", store.port()};
        feed = std::make_unique<PlatformFeed>(settings, clock, counters, revisions,
            FeedCallbacks{[this](std::shared_ptr<const Steering::RoutingSnapshot> snapshot) {
                              const std::lock_guard lock(mutex);
                              smallestVersion = std::min(smallestVersion, snapshot->manifest ? snapshot->manifest->version : smallestVersion);
                              current = std::move(snapshot);
                          },
                [this](const auto &vms) {
                    const std::lock_guard lock(mutex);
                    registeredVms = vms;
                },
                [] {}},
            1);
        feed->start();
        REQUIRE(eventually(5'000, [this] { return usable("u-1") && fleetSize() == 2; }));
        copy = store.revision();
    }

    ~RestoredStoreFixture()
    {
        // Ends waiting watches so that the feed's threads stop soon.
        store.compactHistory();
    }

    [[nodiscard]] static bool eventually(int withinMs, const std::function<bool()> &condition)
    {
        for (int waited = 0; waited < withinMs; waited += 10) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }

    /// Whether @p condition holds for @p ms.
    [[nodiscard]] static bool holdsFor(int ms, const std::function<bool()> &condition)
    {
        return !eventually(ms, [&] { return !condition(); });
    }

    [[nodiscard]] std::optional<Steering::UpstreamSnapshot> find(const std::string &id) const
    {
        const std::lock_guard lock(mutex);
        const auto service = current ? current->services.find("svc") : decltype(current->services.find("svc"))();
        if (current && service != current->services.end()) {
            for (const Steering::UpstreamSnapshot &upstream : service->second->upstreams) {
                if (upstream.entry.id == id) {
                    return upstream;
                }
            }
        }
        return std::nullopt;
    }

    /// Whether the VM may send requests to the upstream.
    [[nodiscard]] bool usable(const std::string &id) const
    {
        const auto upstream = find(id);
        return upstream && !upstream->entry.leaving && !upstream->evacuated;
    }

    [[nodiscard]] std::string addressOf(const std::string &vm) const
    {
        const std::lock_guard lock(mutex);
        const auto found = registeredVms.find(vm);
        return found == registeredVms.end() ? "" : found->second.ip;
    }

    [[nodiscard]] int fleetSize() const
    {
        const std::lock_guard lock(mutex);
        return current ? current->fleetSize : 0;
    }

    [[nodiscard]] std::uint64_t version() const
    {
        const std::lock_guard lock(mutex);
        return current && current->manifest ? current->manifest->version : 0;
    }

    /// Restores the copy of the start and waits until the VM has listed it.
    void restore()
    {
        const int listed = store.listCalls("servers");
        const int vmsListed = store.listCalls("wasabistair-vms");
        store.restoreRevision(copy);
        REQUIRE(eventually(boundMs, [&] { return store.listCalls("servers") > listed && store.listCalls("wasabistair-vms") > vmsListed; }));
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }

    void putManifest(int version)
    {
        Json routes = Json::object();
        routes["r"] = StandIns::routeObject("/r/", "safe", 1'000, 2);
        store.put("config", "main", StandIns::manifestObject(version, routes));
    }

    void putUpstream(const std::string &id, const std::string &state)
    {
        store.put("servers", id, StandIns::upstreamObject(80, "north-a", state));
    }

    void putVm(const std::string &name)
    {
        store.put("wasabistair-vms", name, encodeVm({name, "north-a", "north", "10.0.0.2", 80, 81, 1, 0.2, 100}));
    }

    StandIns::FakeObjectStore store;
    VmSettings settings;
    Base::SystemClock clock;
    StoreCallCounters counters;
    Nodes::RevisionTracker revisions;
    mutable std::mutex mutex;
    std::uint64_t smallestVersion = std::numeric_limits<std::uint64_t>::max();
    std::shared_ptr<const Steering::RoutingSnapshot> current;
    std::map<std::string, Steering::EntryVm> registeredVms;
    /// Revision of the copy that restore() brings back.
    std::uint64_t copy = 0;
    std::unique_ptr<PlatformFeed> feed;
};

} // namespace

TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_storeComesBackOlder_changesUnderReusedRevisionsAreInForceWithinTheBound")
{
    // Guards against a VM that ignores all changes until the store's revisions have caught up with those it knew.
    for (int i = 0; i < 50; ++i) {
        putUpstream("u-joins-" + std::to_string(i), "ready");
    }
    REQUIRE(eventually(boundMs, [this] { return usable("u-joins-49"); }));
    restore();
    putManifest(2);
    putUpstream("u-new", "ready");
    store.remove("servers", "u-1");
    CHECK(eventually(boundMs, [this] { return version() == 2 && usable("u-new"); }));
    CHECK(eventually(boundMs + 1'000, [this] { return !find("u-1"); }));
    CHECK(revisions.ownState().era == 2);
    CHECK(eventually(boundMs, [this] { return !find("u-joins-0"); }));
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_storeComesBackWithAnOlderManifest_acceptedOneStaysInForce")
{
    putManifest(5);
    REQUIRE(eventually(boundMs, [this] { return version() == 5; }));
    smallestVersion = 5;
    restore();
    CHECK(holdsFor(1'000, [this] { return version() == 5; }));
    putManifest(6);
    CHECK(eventually(boundMs, [this] { return version() == 6; }));
    CHECK(smallestVersion == 5);
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_storeForgetsThatUpstreamsLeaveOrEnded_theyGetNoWorkAgain")
{
    putUpstream("u-1", "draining");
    store.remove("servers", "u-ends");
    REQUIRE(eventually(boundMs, [this] { return !usable("u-1") && !find("u-ends"); }));
    restore();
    CHECK(holdsFor(1'500, [this] { return !usable("u-1") && !usable("u-ends"); }));
    // An upstream that writes its registration again runs after all.
    putUpstream("u-ends", "ready");
    CHECK(eventually(boundMs, [this] { return usable("u-ends"); }));
    CHECK_FALSE(usable("u-1"));
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_storeForgetsUpstreams_thoseThatRegisterAgainNeverMissOut")
{
    putUpstream("u-back", "ready");
    putUpstream("u-gone", "ready");
    REQUIRE(eventually(boundMs, [this] { return usable("u-back") && usable("u-gone"); }));
    restore();
    CHECK(holdsFor(1'000, [this] { return usable("u-back") && usable("u-gone"); }));
    putUpstream("u-back", "ready");
    CHECK(eventually(boundMs, [this] { return !find("u-gone"); }));
    CHECK(usable("u-back"));
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_storeForgetsAnEvacuation_zoneStaysEmptyUntilTheOperatorWritesAgain")
{
    store.put("evacuations", "north-a", Json::object());
    REQUIRE(eventually(boundMs, [this] { return !usable("u-1"); }));
    restore();
    CHECK(holdsFor(1'500, [this] { return !usable("u-1"); }));
    store.put("evacuations", "north-a", Json::object());
    store.remove("evacuations", "north-a");
    CHECK(eventually(boundMs, [this] { return usable("u-1"); }));
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_storeBringsBackAnEvacuationThatHasEnded_zoneIsUsedOn")
{
    store.put("evacuations", "north-a", Json::object());
    copy = store.revision();
    REQUIRE(eventually(boundMs, [this] { return !usable("u-1"); }));
    store.remove("evacuations", "north-a");
    REQUIRE(eventually(boundMs, [this] { return usable("u-1"); }));
    restore();
    CHECK(holdsFor(1'500, [this] { return usable("u-1"); }));
}

// Guards against an evacuation that the operator writes right after the store's return and that is hidden as long as known state is held (review/12).
TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_evacuationIsWrittenBeforeTheFirstList_takesEffectAtOnce")
{
    store.holdBackLists("evacuations");
    store.restoreRevision(copy);
    store.put("evacuations", "north-a", Json::object());
    store.releaseLists();
    CHECK(eventually(boundMs, [this] { return !usable("u-1"); }));
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_evacuationEndedAndIsWrittenAgainBeforeTheFirstList_takesEffectAtOnce")
{
    store.put("evacuations", "north-a", Json::object());
    copy = store.revision();
    REQUIRE(eventually(boundMs, [this] { return !usable("u-1"); }));
    store.remove("evacuations", "north-a");
    REQUIRE(eventually(boundMs, [this] { return usable("u-1"); }));
    store.holdBackLists("evacuations");
    store.restoreRevision(copy);
    store.put("evacuations", "north-a", Json::object());
    store.releaseLists();
    CHECK(eventually(boundMs, [this] { return !usable("u-1"); }));
}

// Guards against a VM that starts again during the store's absence and is known by its old address for the whole hold.
TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_vmRegistersAnewBeforeTheFirstList_itsNewAddressIsKnownAtOnce")
{
    store.holdBackLists("wasabistair-vms");
    store.restoreRevision(copy);
    store.put("wasabistair-vms", "vm-2", encodeVm({"vm-2", "north-a", "north", "10.0.0.9", 80, 81, 2, 0.2, 100}));
    store.releaseLists();
    CHECK(eventually(boundMs, [this] { return addressOf("vm-2") == "10.0.0.9"; }));
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_storeForgetsRegisteredVms_fleetIsNotTakenForSmaller")
{
    putVm("vm-3");
    REQUIRE(eventually(5'000, [this] { return fleetSize() == 3; }));
    restore();
    CHECK(holdsFor(1'500, [this] { return fleetSize() == 3; }));
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "feed_peerReportsALaterEraThatIsWrong_changesAreStillInForce")
{
    revisions.eras().report(40);
    putUpstream("u-new", "ready");
    CHECK(eventually(boundMs, [this] { return usable("u-new"); }));
    CHECK(eventually(boundMs, [this] { return revisions.eras().newest() == 1; }));
    putUpstream("u-later", "ready");
    CHECK(eventually(boundMs, [this] { return usable("u-later"); }));
}

TEST_CASE_FIXTURE(RestoredStoreFixture, "registration_storeForgetsTheVm_isWrittenAgainOnce")
{
    Registration registration({"vm-1", "north-a", "north", "10.0.0.1", 80, 81, 1, 0.2, 100}, settings.storeAddress, clock, counters, revisions.eras(), 1);
    registration.start();
    REQUIRE(eventually(boundMs, [this] { return store.contains("wasabistair-vms", "vm-1"); }));
    restore();
    REQUIRE_FALSE(store.contains("wasabistair-vms", "vm-1"));
    CHECK(eventually(5'000, [&] {
        registration.checkEra();
        return store.contains("wasabistair-vms", "vm-1");
    }));
    const auto gets = counters.calls(StoreCall::Get);
    const auto creates = counters.calls(StoreCall::Create);
    CHECK(holdsFor(500, [&] {
        registration.checkEra();
        return true;
    }));
    CHECK(counters.calls(StoreCall::Get) == gets);
    CHECK(counters.calls(StoreCall::Create) == creates);
    CHECK(gets == 1);
    CHECK(creates == 2);
}

TEST_CASE("storeClient_answerIsOfAnOlderEra_failsAndClosesTheConnection")
{
    const std::string body = R"({"items": [], "has-more": false, "as-of": 7})";
    int era = 3;
    StandIns::ScriptedUpstream scripted([&](const StandIns::ReceivedRequest &) {
        return StandIns::ScriptedAnswer{
            .bytes = "HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(era) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body};
    });
    Base::SystemClock clock;
    StoreCallCounters counters;
    Nodes::StoreEraTracker eras;
    StoreClient client({"127.0.0.1", scripted.port()}, 1'000, clock, counters, eras);
    REQUIRE(tryStoreCall([&] { return client.list("things"); }));
    CHECK(client.answerEra() == 3);
    era = 2;
    const auto outdated = tryStoreCall([&] { return client.list("things"); });
    REQUIRE_FALSE(outdated);
    CHECK((outdated.error->failure == StoreFailure::OutdatedEra));
    era = 4;
    const auto list = tryStoreCall([&] { return client.list("things"); });
    REQUIRE(list);
    CHECK(list.value->era == 4);
    CHECK(eras.restores() == 1);
}
