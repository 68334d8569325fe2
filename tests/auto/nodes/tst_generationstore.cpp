#include <doctest/doctest.h>

#include <nodes/generationstore.h>
#include <platform/content.h>
#include <standins/soundobjects.h>

#include <rapidcheck.h>

using namespace Wasabistair;
using namespace Wasabistair::Nodes;

namespace {

Steering::ObjectSet objectsOf(int variant)
{
    Steering::ObjectSet set = StandIns::soundObjects(variant);
    set.clientBlocks = {{0x0a000000, 8, "s0"}};
    return set;
}

} // namespace

TEST_CASE("generationStore_randomOrderAndFaults_agreesWithNaiveMaximum")
{
    std::vector<Platform::Content> contents;
    for (int i = 0; i < 6; ++i) {
        contents.push_back(Platform::encodeContent(objectsOf(i)));
    }
    CHECK(rc::check([&] {
        GenerationStore store;
        std::uint64_t expectedGeneration = 0;
        const int events = *rc::gen::inRange(1, 30);
        for (int i = 0; i < events; ++i) {
            const auto generation = *rc::gen::inRange<std::uint64_t>(1, 7);
            const Platform::Content &content = contents[generation - 1];
            const int fault = *rc::gen::inRange(0, 4);
            const auto source = [&](const std::string &digest) -> std::optional<std::string> {
                if (fault == 1) {
                    return std::nullopt;
                }
                std::string bytes = digest == content.manifestDigest ? content.manifest : content.parts.at(digest);
                if (fault == 2) {
                    bytes[bytes.size() / 2] ^= 1;
                }
                return bytes;
            };
            const TakeOutcome outcome = store.take({generation, content.manifestDigest}, source);
            const bool complete = fault == 0 || fault == 3;
            if (generation <= expectedGeneration) {
                RC_ASSERT(outcome.status == TakeStatus::NotNewer);
            } else if (complete) {
                RC_ASSERT(outcome.status == TakeStatus::Taken);
                expectedGeneration = generation;
            } else {
                RC_ASSERT(outcome.status == TakeStatus::Incomplete);
            }
            RC_ASSERT(store.current().generation == expectedGeneration);
            RC_ASSERT(store.configuration()->generation == expectedGeneration);
            if (expectedGeneration > 0) {
                RC_ASSERT(store.configuration()->objects.services[0].deadlineMs == 1'000 + static_cast<int>(expectedGeneration) - 1);
                RC_ASSERT(store.part(store.current().manifestDigest).has_value());
            }
        }
    }));
}

TEST_CASE("generationStore_faultyContent_isRejectedForGoodAndThePreviousStays")
{
    GenerationStore store;
    const Platform::Content valid = Platform::encodeContent(objectsOf(0));
    Steering::ObjectSet faultyObjects = objectsOf(1);
    faultyObjects.places[0].region = "nowhere";
    const Platform::Content faulty = Platform::encodeContent(faultyObjects);
    const auto sourceOf = [](const Platform::Content &content) {
        return [&content](const std::string &digest) -> std::optional<std::string> {
            return digest == content.manifestDigest ? content.manifest : content.parts.at(digest);
        };
    };
    CHECK((store.take({1, valid.manifestDigest}, sourceOf(valid)).status == TakeStatus::Taken));
    CHECK((store.take({2, faulty.manifestDigest}, sourceOf(faulty)).status == TakeStatus::Refused));
    CHECK(store.current().generation == 1);
    CHECK(store.refused().size() == 1);
    CHECK((store.take({3, valid.manifestDigest}, sourceOf(valid)).status == TakeStatus::Taken));
}
