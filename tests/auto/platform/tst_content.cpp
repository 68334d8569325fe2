
#include <doctest/doctest.h>

#include <platform/content.h>

#include <nlohmann/json.hpp>

#include <standins/validobjects.h>

#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace Wasabistair;
using namespace Wasabistair::Platform;
using Wasabistair::StandIns::validObjects;

namespace {

Base::Outcome<Steering::ObjectSet, ContentError> decode(const Content &content, const std::string &manifest)
{
    const auto fetch = [&](const Part &part) -> std::optional<std::string> {
        const auto found = content.parts.find(part.digest);
        return found == content.parts.end() ? std::nullopt : std::optional(found->second);
    };
    return Base::captureError<ContentError>([&] { return decodeContent(manifest, fetch); }, ContentError{});
}

} // namespace

TEST_CASE("content_randomBlocks_decodesToTheSameObjects")
{
    CHECK(rc::check([] {
        Steering::ObjectSet objects = validObjects(*rc::gen::inRange(0, 100));
        std::set<std::uint32_t> seen;
        for (const std::uint32_t raw : *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>())) {
            if (seen.insert(raw & 0xffffff00).second) {
                objects.clientBlocks.push_back({raw & 0xffffff00, 24, raw % 2 == 0 ? "s0" : "s1"});
            }
        }
        std::sort(objects.clientBlocks.begin(), objects.clientBlocks.end());
        const Content content = encodeContent(objects);
        auto decoded = decode(content, content.manifest);
        RC_ASSERT(static_cast<bool>(decoded));
        std::sort(decoded.value->clientBlocks.begin(), decoded.value->clientBlocks.end());
        RC_ASSERT(*decoded.value == objects);
    }));
}

TEST_CASE("content_oneBlockChanged_changesOnePartOnly")
{
    Steering::ObjectSet objects = validObjects();
    for (std::uint32_t i = 0; i < 20'000; ++i) {
        objects.clientBlocks.push_back({i << 16, 16, "s0"});
    }
    const Content before = encodeContent(objects);
    objects.clientBlocks[12'345].site = "s1";
    const Content after = encodeContent(objects);
    std::size_t changed = 0;
    for (const auto &[digest, bytes] : after.parts) {
        changed += before.parts.contains(digest) ? 0 : 1;
    }
    CHECK(changed == 1);
}

TEST_CASE("content_corruptedInAnyByte_isRejectedAsAWhole")
{
    CHECK(rc::check([] {
        Steering::ObjectSet objects = validObjects();
        objects.clientBlocks = {{0x0a000000, 8, "s0"}, {0x0b000000, 8, "s1"}};
        Content content = encodeContent(objects);
        auto part = content.parts.begin();
        std::advance(part, *rc::gen::inRange<std::size_t>(0, content.parts.size()));
        part->second[*rc::gen::inRange<std::size_t>(0, part->second.size())] ^= 1 << *rc::gen::inRange(0, 8);
        const auto decoded = decode(content, content.manifest);
        RC_ASSERT(!decoded);
        RC_ASSERT(decoded.error->failure == ContentFailure::Corrupted);
    }));
}

TEST_CASE("content_newerFormatAndGarbage_areRejectedWithTheirFailure")
{
    nlohmann::json newer = {{"format", contentFormat + 1}, {"sites", nlohmann::json::array()}, {"parts", nlohmann::json::array()}};
    const auto bytes = nlohmann::json::to_cbor(newer);
    const Content content = encodeContent(validObjects());
    CHECK((decode(content, {bytes.begin(), bytes.end()}).error->failure == ContentFailure::NewerFormat));
    CHECK((decode(content, "garbage").error->failure == ContentFailure::Corrupted));
    CHECK((decode(content, "").error->failure == ContentFailure::Corrupted));
    CHECK((decode(content, std::string(maxValueBytes + 1, 'x')).error->failure == ContentFailure::TooLarge));
    Content incomplete = content;
    incomplete.parts.clear();
    CHECK((decode(incomplete, content.manifest).error->failure == ContentFailure::PartMissing));
}

TEST_CASE("content_invalidObjects_areRejected")
{
    Steering::ObjectSet objects = validObjects();
    objects.places[0].region = "nowhere";
    const Content content = encodeContent(objects);
    CHECK((decode(content, content.manifest).error->failure == ContentFailure::Invalid));
}
