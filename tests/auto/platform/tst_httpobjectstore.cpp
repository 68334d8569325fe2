#include <doctest/doctest.h>

#include <platform/httpobjectstore.h>
#include <standins/fakeplatform.h>

#include <chrono>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Platform;

namespace {

struct StoreFixture {
    template<typename F>
    static PlatformFailure failureOf(F &&call)
    {
        const auto outcome = tryStore(call);
        REQUIRE_FALSE(outcome);
        return outcome.error->failure;
    }

    StandIns::FakePlatform platform;
    HttpObjectStore store{{"127.0.0.1", platform.port()}, 1'000};
};

} // namespace

TEST_CASE_FIXTURE(StoreFixture, "store_conditionalWrites_succeedOnlyOnTheExpectedVersion")
{
    const auto created = tryStore([&] { return store.put("a/b?c", "one", noVersion); });
    REQUIRE(created);
    CHECK((failureOf([&] { return store.put("a/b?c", "two", noVersion); }) == PlatformFailure::Conflict));
    const auto updated = tryStore([&] { return store.put("a/b?c", "two", *created.value); });
    REQUIRE(updated);
    CHECK((failureOf([&] { return store.put("a/b?c", "three", *created.value); }) == PlatformFailure::Conflict));
    CHECK(tryStore([&] { return store.get("a/b?c"); }).value->value == "two");
    CHECK(tryStore([&] { return store.list("a/"); }).value->size() == 1);
    CHECK((failureOf([&] { return store.get("missing"); }) == PlatformFailure::NotFound));
}

TEST_CASE_FIXTURE(StoreFixture, "store_faults_areReportedAsDistinctFailures")
{
    platform.setFaults({.loseWriteAnswers = 1});
    CHECK((failureOf([&] { return store.put("k", "v", noVersion); }) == PlatformFailure::OutcomeUnknown));
    CHECK(tryStore([&] { return store.get("k"); }).value->value == "v");
    platform.setFaults({.down = true});
    CHECK((failureOf([&] { return store.get("k"); }) == PlatformFailure::Rejected));
    platform.setFaults({.silent = true});
    CHECK((failureOf([&] { return store.get("k"); }) == PlatformFailure::OutcomeUnknown));
    platform.setFaults({});
    CHECK((failureOf([&] { return store.put("k", std::string(maxValueBytes + 1, 'x'), noVersion); }) == PlatformFailure::TooLarge));
    HttpObjectStore unreachable({"127.0.0.1", 1}, 1'000);
    CHECK((failureOf([&] { return unreachable.get("k"); }) == PlatformFailure::Unreachable));
}

TEST_CASE_FIXTURE(StoreFixture, "store_watch_returnsOnChange")
{
    const auto created = tryStore([&] { return store.put("k", "v", noVersion); });
    std::thread writer([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        platform.putDirectly("k", "w");
    });
    const auto changed = tryStore([&] { return store.watch("k", *created.value, 30'000); });
    writer.join();
    REQUIRE(changed);
    CHECK(changed.value->value == "w");
    const auto unchanged = tryStore([&] { return store.watch("k", changed.value->version, 50); });
    REQUIRE(unchanged);
    CHECK(unchanged.value->version == changed.value->version);
    CHECK(store.calls(CallKind::Watch) == 2);
}
