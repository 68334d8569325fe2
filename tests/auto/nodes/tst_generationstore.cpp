#include <doctest/doctest.h>

#include <nodes/generationstore.h>
#include <platform/content.h>
#include <standins/validobjects.h>

#include <rapidcheck.h>

using namespace Wasabistair;
using namespace Wasabistair::Nodes;

namespace {

Steering::ObjectSet objectsOf(int variant)
{
    Steering::ObjectSet set = StandIns::validObjects(variant);
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
            const ApplyOutcome outcome = store.apply({generation, content.manifestDigest}, source);
            const bool complete = fault == 0 || fault == 3;
            if (generation <= expectedGeneration) {
                RC_ASSERT(outcome.status == ApplyStatus::NotNewer);
            } else if (complete) {
                RC_ASSERT(outcome.status == ApplyStatus::Applied);
                expectedGeneration = generation;
            } else {
                RC_ASSERT(outcome.status == ApplyStatus::Incomplete);
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
    CHECK((store.apply({1, valid.manifestDigest}, sourceOf(valid)).status == ApplyStatus::Applied));
    CHECK((store.apply({2, faulty.manifestDigest}, sourceOf(faulty)).status == ApplyStatus::Refused));
    CHECK(store.current().generation == 1);
    CHECK(store.refused().size() == 1);
    CHECK((store.apply({3, valid.manifestDigest}, sourceOf(valid)).status == ApplyStatus::Applied));
}
