#include <doctest/doctest.h>

#include <platform/decoding.h>
#include <standins/platformobjects.h>

#include <rapidcheck.h>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;
using StandIns::sampleManifest;
using StandIns::sampleUpstream;
using Json = nlohmann::json;

namespace {

bool decodes(const Json &spec)
{
    return static_cast<bool>(tryDecode([&] { return decodeUpstream({"i-1", 5, spec}); }));
}

} // namespace

TEST_CASE("upstream_validEntry_isDecoded")
{
    auto entry = tryDecode([&] { return decodeUpstream({"i-1", 5, sampleUpstream()}); });
    REQUIRE(entry);
    CHECK((*entry.value == Steering::UpstreamEntry{"i-1", "huvo11a", "10.128.0.9", 8080, "amman-a", "v1", 6, false, 0, 1785976920000}));
}

TEST_CASE("upstream_malformedEntry_isRejected")
{
    for (const char *pointer : {"/address", "/info", "/status", "/info/service", "/info/slots", "/info/zone", "/status/state", "/status/cold-left-ms"}) {
        Json missing = sampleUpstream();
        const Json::json_pointer field(pointer);
        missing[field.parent_pointer()].erase(field.back());
        CHECK_MESSAGE(!decodes(missing), pointer);
        Json malformed = sampleUpstream();
        malformed[field] = Json::array({1});
        CHECK_MESSAGE(!decodes(malformed), pointer);
    }
    Json state = sampleUpstream();
    state["status"]["state"] = "resting";
    CHECK_FALSE(decodes(state));
    Json born = sampleUpstream();
    born["born"] = "yesterday";
    CHECK_FALSE(decodes(born));
    CHECK_FALSE(decodes(Json()));
    CHECK_FALSE(decodes(Json("bytes")));
}

TEST_CASE("upstream_anyDamage_neverThrows")
{
    CHECK(rc::check([] {
        Json spec = sampleUpstream();
        std::vector<std::string> pointers;
        const Json flat = spec.flatten();
        for (const auto &[pointer, value] : flat.items()) {
            pointers.push_back(pointer);
        }
        const std::string pointer = *rc::gen::elementOf(pointers);
        // Chosen by index: RapidCheck can't print JSON values.
        const std::vector<Json> replacements = {Json(), Json(1), Json(-1), Json("x"), Json::object(), Json::array(), Json(1.5), Json(true)};
        spec[Json::json_pointer(pointer)] = replacements[static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(replacements.size())))];
        decodes(spec);
    }));
}

TEST_CASE("manifest_validObject_isDecoded")
{
    auto manifest = tryDecode([&] { return decodeManifest({"main", 5, sampleManifest()}); });
    REQUIRE(manifest);
    CHECK(manifest.value->version == 7);
    const Steering::RouteRule *route = Steering::findRoute(*manifest.value, "h.example", "/a/x");
    REQUIRE(route != nullptr);
    CHECK(route->idempotent);
    CHECK(route->services.size() == 2);
    CHECK(route->timeoutMs == 800);
    route = Steering::findRoute(*manifest.value, "h.example", "/a/b/x");
    REQUIRE(route != nullptr);
    CHECK_FALSE(route->idempotent);
    route = Steering::findRoute(*manifest.value, "h.example", "/c/x");
    REQUIRE(route != nullptr);
    // An upload may run at most once.
    CHECK_FALSE(route->idempotent);
    CHECK(route->homeRegions == std::vector<std::string>{"gulf"});
    CHECK(manifest.value->services.at("s1").coldStartMs == 3'000);
    CHECK(manifest.value->limits.idleTimeoutMs == 15'000);
    CHECK(manifest.value->limits.headerTimeoutMs == Steering::CallerLimits().headerTimeoutMs);
}

TEST_CASE("vm_encodedAndDecoded_isUnchanged")
{
    const Steering::EntryVm vm{"vm-1", "a", "north", "10.0.0.1", 80, 81, 77, 0.2, 100};
    auto decoded = tryDecode([&] { return decodeVm({"vm-1", 3, encodeVm(vm)}); });
    REQUIRE(decoded);
    CHECK((*decoded.value == vm));
}

TEST_CASE("load_malformedHeader_isIgnored")
{
    CHECK((decodeLoad("3,0,8") == Steering::ReportedLoad{3, 0, 8}));
    for (const char *text : {"", "3", "a,b,c", "3,-1,8", ",,"}) {
        CHECK_FALSE(decodeLoad(text));
    }
}
