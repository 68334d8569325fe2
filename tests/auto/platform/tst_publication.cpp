
#include <doctest/doctest.h>

#include <platform/publication.h>
#include <standins/memorystore.h>
#include <standins/validobjects.h>

#include <rapidcheck.h>

using namespace Wasabistair;
using namespace Wasabistair::Platform;
using Wasabistair::StandIns::MemoryStore;
using Wasabistair::StandIns::validObjects;

namespace {

VersionedHead headOf(MemoryStore &store)
{
    return *tryStore([&] { return readHead(store); }).value;
}

PublishOutcome publishVariant(MemoryStore &store, int variant, const VersionedHead &base, const std::string &token)
{
    return publish(store, encodeContent(validObjects(variant)), base, token, 0);
}

} // namespace

TEST_CASE("publish_answerOfTheHeadLost_recognisesItsOwnWrite")
{
    MemoryStore store;
    const VersionedHead base = headOf(store);
    const Content content = encodeContent(validObjects());
    // The answer to every write is lost after it took effect: all parts, the manifest and the head.
    store.loseAnswers = static_cast<int>(content.parts.size()) + 2;
    const PublishOutcome outcome = publish(store, content, base, "me", 0);
    CHECK(outcome.status == PublishStatus::Accepted);
    CHECK(outcome.generation == 1);
    CHECK(headOf(store).head.history.size() == 1);
}

TEST_CASE("publish_writeLostBeforeItsEffect_isRepeated")
{
    MemoryStore store;
    store.loseWrites = 1;
    CHECK(publishVariant(store, 0, headOf(store), "me").status == PublishStatus::Accepted);
    CHECK(headOf(store).head.current().generation == 1);
}

TEST_CASE("publish_twoOperatorsRace_oneWinsAndTheOtherIsTold")
{
    MemoryStore store;
    const VersionedHead base = headOf(store);
    CHECK(publishVariant(store, 1, base, "first").status == PublishStatus::Accepted);
    const PublishOutcome second = publishVariant(store, 2, base, "second");
    CHECK(second.status == PublishStatus::Conflict);
    CHECK(second.generation == 1);
    CHECK(headOf(store).head.history.size() == 1);
}

TEST_CASE("publish_ownAnswerLostAndAnotherPublishesOnTop_isStillAccepted")
{
    // Another operator's write takes effect between the lost answer and the reading back of the head.
    class Racing: public MemoryStore
    {
    public:
        Base::Result<Version> put(const std::string &key, const std::string &value, Version expected) override
        {
            auto result = MemoryStore::put(key, value, expected);
            if (key == headKey && !raced) {
                raced = true;
                publishVariant(*this, 9, headOf(*this), "other");
                return Base::Leaf::new_error(PlatformError{PlatformFailure::OutcomeUnknown, key});
            }
            return result;
        }
        bool raced = false;
    };
    Racing store;
    const PublishOutcome outcome = publish(store, encodeContent(validObjects()), VersionedHead{}, "me", 0);
    CHECK(outcome.status == PublishStatus::Accepted);
    CHECK(outcome.generation == 1);
    CHECK(headOf(store).head.current().generation == 2);
}

TEST_CASE("publish_platformDown_saysThatNothingWasPublished")
{
    MemoryStore store;
    store.down = true;
    CHECK(publishVariant(store, 0, VersionedHead{}, "me").status == PublishStatus::NotPublished);
    store.down = false;
    CHECK(headOf(store).head.history.empty());
}

TEST_CASE("publish_randomFaultsAndRaces_agreesWithNaiveLog")
{
    CHECK(rc::check([] {
        MemoryStore store;
        std::vector<std::string> expectedTokens; // in the order of acceptance
        VersionedHead stale;
        const int rounds = *rc::gen::inRange(1, 45);
        for (int i = 0; i < rounds; ++i) {
            if (*rc::gen::arbitrary<bool>()) {
                stale = headOf(store);
            }
            store.loseAnswers = *rc::gen::inRange(0, 3);
            store.loseWrites = *rc::gen::inRange(0, 3);
            const bool current = stale.version == headOf(store).version;
            const std::string token = "t" + std::to_string(i);
            const PublishOutcome outcome = publishVariant(store, i, stale, token);
            store.loseAnswers = 0;
            store.loseWrites = 0;
            if (outcome.status == PublishStatus::Accepted) {
                RC_ASSERT(current);
                expectedTokens.push_back(token);
                RC_ASSERT(outcome.generation == expectedTokens.size());
            } else {
                RC_ASSERT(!current);
                RC_ASSERT(outcome.status == PublishStatus::Conflict);
            }
            const Head head = headOf(store).head;
            RC_ASSERT(head.history.empty() == expectedTokens.empty());
            if (!expectedTokens.empty()) {
                RC_ASSERT(head.current().generation == expectedTokens.size());
                RC_ASSERT(head.current().token == expectedTokens.back());
                RC_ASSERT(head.history.size() <= Head::maxHistory);
            }
        }
    }));
}

TEST_CASE("prune_afterManyGenerations_keepsWhatTheHistoryNames")
{
    MemoryStore store;
    const int generations = static_cast<int>(Head::maxHistory) + 8;
    for (int i = 0; i < generations; ++i) {
        REQUIRE(publishVariant(store, i, headOf(store), "t" + std::to_string(i)).status == PublishStatus::Accepted);
    }
    const auto removed = tryStore([&] { return pruneContent(store); });
    REQUIRE(removed);
    // Eight generations have left the history, each with one manifest and one part of its own.
    CHECK(*removed.value == 16);
    for (const HeadEntry &entry : headOf(store).head.history) {
        CHECK(tryStore([&] { return store.get(partKey(entry.manifestDigest)); }));
    }
}
