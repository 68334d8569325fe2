#include <doctest/doctest.h>

#include <steering/incarnationmemory.h>
#include <steering/restorableobjects.h>

using namespace Wasabistair;
using namespace Wasabistair::Steering;

namespace {

using Restorable = RestorableObjects<int>;
using Objects = Restorable::Objects;
using Names = std::vector<std::string>;

/// Knows "kept" and "lost", and has seen "ended"; the older copy has "kept" as it was and "ended".
struct RestoredFixture {
    RestoredFixture()
    {
        objects.applyList(copy, 0);
        objects.applyList({{"kept", {2, 13}}, {"lost", {1, 14}}}, 0);
        objects.holdKnown(0);
    }

    const Restorable::Versions copy = {{"kept", {1, 11}}, {"ended", {1, 12}}};
    Restorable objects{1'000};
};

struct ListedFixture: RestoredFixture {
    ListedFixture()
    {
        outdated = objects.applyList(copy, 0);
    }

    Names outdated;
};

} // namespace

TEST_CASE_FIXTURE(ListedFixture, "restorableObjects_olderCopyIsListed_knownStateAppliesUntilTheHoldEnds")
{
    CHECK(outdated == Names{"ended", "kept"});
    CHECK(objects.current() == Objects{{"kept", 2}, {"lost", 1}});
    CHECK_FALSE(objects.releaseExpired(999));
    CHECK(objects.releaseExpired(1'000));
    CHECK(objects.current() == Objects{{"kept", 1}, {"ended", 1}});
}

// Guards against an evacuation that is written right after the store's return and taken for one of the copy that had ended (review/12).
TEST_CASE_FIXTURE(RestoredFixture, "restorableObjects_objectsWrittenBeforeTheFirstList_applyAtOnce")
{
    const auto listed = objects.applyList({{"kept", {3, 16}}, {"ended", {1, 15}}, {"new", {1, 13}}}, 0);
    CHECK(listed.empty());
    CHECK(objects.current() == Objects{{"kept", 3}, {"ended", 1}, {"new", 1}, {"lost", 1}});
}

TEST_CASE_FIXTURE(RestoredFixture, "restorableObjects_firstListShowsAVersionBeforeTheKnownOne_knownOneApplies")
{
    // This VM hasn't seen the version, since it started later.
    CHECK(objects.applyList({{"kept", {0, 10}}}, 0) == Names{"kept"});
    CHECK(objects.current() == Objects{{"kept", 2}, {"lost", 1}});
}

TEST_CASE("restorableObjects_versionWasReplacedLongAgo_isNoLongerTakenForOneOfTheCopy")
{
    Restorable objects{1'000};
    objects.put("zone", {1, 5}, 0);
    objects.remove("zone", 0);
    objects.holdKnown(Restorable::seenMs + 1);
    CHECK(objects.applyList({{"zone", {1, 5}}}, Restorable::seenMs + 1).empty());
    CHECK(objects.current() == Objects{{"zone", 1}});
}

TEST_CASE("restorableObjects_manyVersions_rememberTheLatestOnes")
{
    Restorable objects{1'000};
    constexpr int versions = 40;
    for (int i = 0; i <= versions; ++i) {
        objects.put("zone", {i, static_cast<std::uint64_t>(i)}, 0);
    }
    objects.remove("zone", 0);
    objects.holdKnown(0);
    CHECK(objects.applyList({{"zone", {versions, versions}}}, 0) == Names{"zone"});
    objects.holdKnown(0);
    CHECK(objects.applyList({{"zone", {0, 0}}}, 0).empty());
}

TEST_CASE_FIXTURE(ListedFixture, "restorableObjects_objectIsWrittenAgain_storesStateAppliesAtOnce")
{
    objects.put("kept", {3, 15}, 0);
    objects.put("ended", {4, 16}, 0);
    objects.remove("lost", 0);
    CHECK(objects.current() == Objects{{"kept", 3}, {"ended", 4}});
}

TEST_CASE_FIXTURE(ListedFixture, "restorableObjects_laterListDiffers_whatWasWrittenBetweenApplies")
{
    objects.applyList({{"kept", {5, 13}}, {"ended", {1, 12}}}, 0);
    CHECK(objects.current() == Objects{{"kept", 5}, {"lost", 1}});
    objects.applyList({{"kept", {5, 13}}, {"ended", {2, 14}}, {"lost", {7, 15}}}, 0);
    CHECK(objects.current() == Objects{{"kept", 5}, {"ended", 2}, {"lost", 7}});
}

TEST_CASE_FIXTURE(ListedFixture, "restorableObjects_storeIsRestoredTwice_firstKnownStateStillApplies")
{
    objects.holdKnown(500);
    objects.applyList({}, 500);
    CHECK_FALSE(objects.releaseExpired(1'200));
    CHECK(objects.current() == Objects{{"kept", 2}, {"lost", 1}});
    objects.holdKnown(600);
    CHECK(objects.applyList(copy, 600) == Names{"ended", "kept"});
    CHECK(objects.current() == Objects{{"kept", 2}, {"lost", 1}});
}

TEST_CASE("incarnationMemory_manyUpstreamsEnd_isBoundedAndDropsTheOldest")
{
    IncarnationMemory memory;
    memory.recordLeaving({"u", 1}, 0);
    for (std::size_t i = 0; i < IncarnationMemory::maxIncarnations; ++i) {
        memory.recordEnded({"other", static_cast<std::int64_t>(i)}, 10);
    }
    CHECK_FALSE(memory.isLeaving({"u", 1}, 10));
    CHECK(memory.hasEnded({"other", 0}, 10));
    CHECK_FALSE(memory.hasEnded({"other", 0}, 10 + IncarnationMemory::keptMs));
    memory.recordAlive({"other", 0});
    CHECK_FALSE(memory.hasEnded({"other", 0}, 10));
}
