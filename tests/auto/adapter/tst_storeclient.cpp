#include <doctest/doctest.h>

#include <platform/storeclient.h>
#include <standins/fakeobjectstore.h>
#include <standins/scriptedupstream.h>

#include <sys/resource.h>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;
using Json = nlohmann::json;

namespace {

struct StoreClientFixture {
    template<typename F>
    static StoreFailure failureOf(F &&call)
    {
        const auto outcome = tryStoreCall(call);
        REQUIRE_FALSE(outcome);
        return outcome.error->failure;
    }

    StandIns::FakeObjectStore store{3};
    Base::SystemClock clock;
    StoreCallCounters counters;
    Nodes::StoreEraTracker eras;
    StoreClient client{{"127.0.0.1", store.port()}, 400, clock, counters, eras};
};

} // namespace

TEST_CASE_FIXTURE(StoreClientFixture, "list_manyPages_returnsAllObjects")
{
    for (int i = 0; i < 8; ++i) {
        store.put("things", "t" + std::to_string(i), {{"value", i}});
    }
    const auto list = tryStoreCall([&] { return client.list("things"); });
    REQUIRE(list);
    CHECK(list.value->objects.size() == 8);
    CHECK(store.listCalls("things") == 3);
    CHECK(list.value->asOf == 9);
}

// Guards against a change that a watch from the first page's revision passes, and that an older page lacks (review/14).
TEST_CASE_FIXTURE(StoreClientFixture, "list_laterPageIsOlder_watchGoesOnFromTheOldestPage")
{
    for (const std::string name : {"a", "b", "c", "d"}) {
        store.put("things", name, 1);
    }
    const std::uint64_t frozenAt = store.revision();
    store.freezePages(StandIns::FakeObjectStore::Pages::Later);
    store.put("things", "d", 2);
    store.put("things", "e", 1);
    const auto list = tryStoreCall([&] { return client.list("things", Freshness::MayBeStale); });
    REQUIRE(list);
    CHECK(list.value->objects.size() == 4);
    CHECK(list.value->asOf == frozenAt);
    const auto events = tryStoreCall([&] { return client.watch("things", list.value->asOf, 50, Freshness::MayBeStale); });
    REQUIRE(events);
    CHECK(events.value->events.size() == 2);
}

TEST_CASE_FIXTURE(StoreClientFixture, "watch_changesThenTimeout_returnsEventsThenNone")
{
    store.put("things", "a", 1);
    auto events = tryStoreCall([&] { return client.watch("things", 1, 500); });
    REQUIRE(events);
    REQUIRE(events.value->events.size() == 1);
    CHECK(events.value->events.front().object.name == "a");
    events = tryStoreCall([&] { return client.watch("things", events.value->asOf, 50); });
    REQUIRE(events);
    CHECK(events.value->events.empty());
}

TEST_CASE_FIXTURE(StoreClientFixture, "writes_revisionMismatch_failWithConflict")
{
    const auto created = tryStoreCall([&] { return client.create("things", "a", {{"v", 1}}); });
    REQUIRE(created);
    CHECK((failureOf([&] { return client.create("things", "a", {}); }) == StoreFailure::Conflict));
    const auto replaced = tryStoreCall([&] { return client.replace("things", "a", {{"v", 2}}, created.value->revision); });
    REQUIRE(replaced);
    CHECK((failureOf([&] { return client.replace("things", "a", {}, created.value->revision); }) == StoreFailure::Conflict));
    CHECK(tryStoreCall([&] { return client.get("things", "a"); }).value->spec == Json({{"v", 2}}));
    CHECK((failureOf([&] { return client.get("things", "b"); }) == StoreFailure::NotFound));
}

TEST_CASE_FIXTURE(StoreClientFixture, "storeFaults_eachKind_hasItsOwnFailure")
{
    store.setFaults({.loseWriteAnswers = true});
    CHECK((failureOf([&] { return client.create("things", "a", 1); }) == StoreFailure::OutcomeUnknown));
    CHECK(store.contains("things", "a"));
    store.setFaults({.rateLimited = 1});
    CHECK((failureOf([&] { return client.get("things", "a"); }) == StoreFailure::RateLimited));
    store.setFaults({.busy = true});
    CHECK((failureOf([&] { return client.get("things", "a"); }) == StoreFailure::Unavailable));
    StoreClient unreachable({"127.0.0.1", 1}, 200, clock, counters, eras);
    CHECK((failureOf([&] { return unreachable.get("things", "a"); }) == StoreFailure::Unreachable));
}

TEST_CASE("storeClient_answersWithoutEnd_areGivenUpWithinTheDeadlineAndABoundOnMemory")
{
    // Guards against a faulty store, or another program at its address, that sends bytes until the client closes.
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string filler(16'384, 'a');
    std::string tinyChunks;
    for (int i = 0; i < 3'000; ++i) {
        tinyChunks += "1\r\na\r\n";
    }
    const std::vector<StandIns::ScriptedAnswer> answers = {
        {.bytes = "", .endlessBytes = filler},
        {.bytes = ok, .endlessBytes = "X: y\r\n"},
        {.bytes = ok + "Transfer-Encoding: chunked\r\n\r\n", .endlessBytes = "4000\r\n" + filler + "\r\n"},
        {.bytes = ok + "Transfer-Encoding: chunked\r\n\r\n1;", .endlessBytes = filler},
        {.bytes = ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", .endlessBytes = "T: v\r\n"},
        {.bytes = ok + "Transfer-Encoding: chunked\r\n\r\n", .endlessBytes = tinyChunks},
        {.bytes = ok + "\r\n", .endlessBytes = filler},
        {.bytes = ok + "Content-Length: 999999999999\r\n\r\n", .endlessBytes = filler},
    };
    constexpr std::int64_t timeoutMs = 1'500;
    constexpr std::int64_t marginMs = 500;
    constexpr long maxGrowthKb = 128 * 1024;
    const auto peakKb = [] {
        rusage usage{};
        ::getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    };
    Base::SystemClock clock;
    StoreCallCounters counters;
    Nodes::StoreEraTracker eras;
    const long before = peakKb();
    for (std::size_t i = 0; i < answers.size(); ++i) {
        CAPTURE(i);
        StandIns::ScriptedUpstream faulty([&](const StandIns::ReceivedRequest &) { return answers[i]; });
        StoreClient client({"127.0.0.1", faulty.port()}, timeoutMs, clock, counters, eras);
        const Base::MonotonicMs begin = clock.monotonic();
        CHECK_FALSE(tryStoreCall([&] { return client.list("things"); }));
        // An answer that has begun may take as long again.
        CHECK(clock.monotonic() - begin < 2 * timeoutMs + marginMs);
    }
    CHECK(peakKb() - before < maxGrowthKb);
}
