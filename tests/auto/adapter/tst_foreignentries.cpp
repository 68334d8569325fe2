#include <doctest/doctest.h>

#include <platform/decoding.h>
#include <platform/storeclient.h>
#include <standins/fakeobjectstore.h>
#include <standins/platformobjects.h>

#include <functional>
#include <limits>
#include <set>
#include <string>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;
using StandIns::sampleUpstream;
using Json = nlohmann::json;

namespace {

/// An entry that another writer left among those of the upstreams.
struct ForeignEntry {
    std::string name;
    std::string spec;
};

std::string nestedLists(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string withField(const char *pointer, const std::string &text)
{
    Json spec = sampleUpstream();
    spec[Json::json_pointer(pointer)] = "replaced";
    std::string written = spec.dump();
    const std::string quoted = R"("replaced")";
    return written.replace(written.find(quoted), quoted.size(), text);
}

std::vector<ForeignEntry> unreadableEntries()
{
    return {
        // 800 kB; the platform allows objects of 1 MiB.
        {"nested-lists", withField("/info", nestedLists(400'000))},
        {"nested-spec", nestedLists(400'000)},
        {"not-utf8", withField("/info/version", "\"v\xff\xfe\"")},
        {"number-out-of-range", withField("/info/slots", "1e400")},
        {"no-value", withField("/info/slots", "+")},
    };
}

/// Entries with brackets or quotes that don't match, so that their end can't be found by counting.
std::vector<ForeignEntry> unbalancedEntries()
{
    const std::string whole = sampleUpstream().dump();
    return {
        {"cut-in-object", whole.substr(0, whole.size() - 1)},
        {"cut-in-text", R"({"address":"127.0.0.1:9","info":{"service":"svc","zone":"a)"},
        {"bracket-too-many", whole + "}"},
        {"brackets-too-many", whole + "]}]}"},
        {"bracket-not-closed", R"({"address":[})"},
        {"no-object", "v1]"},
        {"text-not-closed", R"({"a":"x)"},
        {"escape-at-the-end", R"({"a":"x\)"},
        {"empty", ""},
        {"opening", "[{[{"},
        {"closing", "}]}]"},
    };
}

struct ForeignEntryFixture {
    ForeignEntryFixture()
    {
        store.put("servers", "a-first", sampleUpstream());
        store.put("servers", "z-last", sampleUpstream());
    }

    static std::set<std::string> usable(const std::vector<StoredObject> &objects)
    {
        std::set<std::string> names;
        for (const StoredObject &object : objects) {
            if (tryDecode([&] { return decodeUpstream(object); })) {
                names.insert(object.name);
            }
        }
        return names;
    }

    [[nodiscard]] std::set<std::string> usableInList()
    {
        const auto list = tryStoreCall([&] { return client.list("servers"); });
        REQUIRE(list);
        CHECK(list.value->unnamed == 0);
        CHECK(list.value->asOf == store.revision());
        return usable(list.value->objects);
    }

    /// The fault of an upstream's entry with @p spec; fails the test if it is decoded.
    static DecodingFault faultOf(const Json &spec, const std::string &name = "i-1")
    {
        const auto entry = tryDecode([&] { return decodeUpstream({name, 5, spec}); });
        REQUIRE_FALSE(entry);
        return entry.error->fault;
    }

    StandIns::FakeObjectStore store{3};
    Base::SystemClock clock;
    StoreCallCounters counters;
    Nodes::StoreEraTracker eras;
    StoreClient client{{"127.0.0.1", store.port()}, 2'000, clock, counters, eras};
};

} // namespace

TEST_CASE_FIXTURE(ForeignEntryFixture, "list_oneEntryCantBeRead_othersAreUsable")
{
    // Guards against one entry of another writer that ends the process (nested lists exhausted the stack) or hides the whole registry.
    for (const ForeignEntry &entry : unreadableEntries()) {
        CAPTURE(entry.name);
        store.putRaw("servers", entry.name, entry.spec);
        const auto list = tryStoreCall([&] { return client.list("servers"); });
        REQUIRE(list);
        CHECK(usable(list.value->objects) == std::set<std::string>{"a-first", "z-last"});
        CHECK(list.value->asOf == store.revision());
        store.remove("servers", entry.name);
    }
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "watch_oneEntryCantBeRead_otherChangesAreReturned")
{
    for (const ForeignEntry &entry : unreadableEntries()) {
        CAPTURE(entry.name);
        const std::uint64_t since = store.revision();
        store.putRaw("servers", entry.name, entry.spec);
        store.put("servers", "joined", sampleUpstream());
        const auto events = tryStoreCall([&] { return client.watch("servers", since, 500); });
        REQUIRE(events);
        std::vector<StoredObject> objects;
        for (const ObjectEvent &event : events.value->events) {
            objects.push_back(event.object);
        }
        CHECK(objects.size() == 2);
        CHECK(usable(objects) == std::set<std::string>{"joined"});
        store.remove("servers", entry.name);
        store.remove("servers", "joined");
    }
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "list_bracketsOfOneEntryDontMatch_othersAreUsable")
{
    // Guards against an entry that was cut short and hides the whole registry, since its end isn't found.
    for (const ForeignEntry &entry : unbalancedEntries()) {
        CAPTURE(entry.name);
        for (const std::string &name : {"0-" + entry.name, entry.name, "zz-" + entry.name}) {
            store.putRaw("servers", name, entry.spec);
            CHECK(usableInList() == std::set<std::string>{"a-first", "z-last"});
            store.remove("servers", name);
        }
    }
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "list_bracketsOfSeveralEntriesDontMatch_othersAreUsable")
{
    // Unmatched brackets of two entries can match each other, so that the entries between them seem to be a part of the first.
    const std::vector<ForeignEntry> entries = unbalancedEntries();
    for (const ForeignEntry &before : entries) {
        for (const ForeignEntry &after : entries) {
            CAPTURE(before.name);
            CAPTURE(after.name);
            store.putRaw("servers", "0-before", before.spec);
            store.putRaw("servers", "b-after", after.spec);
            CHECK(usableInList() == std::set<std::string>{"a-first", "z-last"});
        }
    }
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "watch_bracketsOfEntriesDontMatch_otherChangesAreReturned")
{
    for (const ForeignEntry &entry : unbalancedEntries()) {
        CAPTURE(entry.name);
        const std::uint64_t since = store.revision();
        store.putRaw("servers", entry.name, entry.spec);
        store.put("servers", "joined", sampleUpstream());
        store.putRaw("servers", entry.name, entry.spec);
        store.remove("servers", "z-last");
        const auto events = tryStoreCall([&] { return client.watch("servers", since, 500); });
        REQUIRE(events);
        REQUIRE(events.value->events.size() == 4);
        CHECK(events.value->asOf == store.revision());
        for (std::size_t i = 0; i < 4; ++i) {
            const ObjectEvent &event = events.value->events[i];
            CHECK(event.object.name == (i == 1 ? "joined" : i == 3 ? "z-last" : entry.name));
            CHECK(event.object.specFault.has_value() == (i % 2 == 0));
            CHECK(event.removed == (i == 3));
        }
        store.put("servers", "z-last", sampleUpstream());
        store.remove("servers", entry.name);
        store.remove("servers", "joined");
    }
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "get_bracketsDontMatch_isReturnedAsUnreadable")
{
    for (const ForeignEntry &entry : unbalancedEntries()) {
        CAPTURE(entry.name);
        store.putRaw("servers", entry.name, entry.spec);
        const auto object = tryStoreCall([&] { return client.get("servers", entry.name); });
        REQUIRE(object);
        CHECK(object.value->name == entry.name);
        CHECK(object.value->revision == store.revision());
        CHECK(object.value->specFault.has_value());
    }
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "list_manyPagesOfUnreadableEntries_isReadToItsEnd")
{
    for (int i = 0; i < 8; ++i) {
        store.putRaw("servers", "b-" + std::to_string(i), nestedLists(400'000));
    }
    const auto list = tryStoreCall([&] { return client.list("servers"); });
    REQUIRE(list);
    CHECK(usable(list.value->objects) == std::set<std::string>{"a-first", "z-last"});
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "get_objectNestedThousandsOfLevels_isReturnedAsUnreadable")
{
    store.putRaw("servers", "nested", nestedLists(400'000));
    const auto object = tryStoreCall([&] { return client.get("servers", "nested"); });
    REQUIRE(object);
    CHECK(usable({*object.value}).empty());
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "upstream_addressThatIsNoIpAddressWithPort_isRejected")
{
    // Guards against look-ups of host names on the path of a request.
    for (const char *address : {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "10.0.0.1:-1", "10.0.0.1", "10.0.0.999:80", "host.example:80",
             ":80", "10.0.0.1:80:80", "10.0.0.1\r\nX: y:80"}) {
        CAPTURE(address);
        Json spec = sampleUpstream();
        spec["address"] = address;
        CHECK((faultOf(spec) == DecodingFault::BadAddress));
    }
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "upstream_numberBeyondItsRange_isRejected")
{
    const std::vector<Json> tooLarge
        = {Json(4'294'967'297), Json(std::numeric_limits<std::int64_t>::max()), Json(std::numeric_limits<std::uint64_t>::max()), Json(-1), Json(0)};
    for (const Json &slots : tooLarge) {
        CAPTURE(slots.dump());
        Json spec = sampleUpstream();
        spec["info"]["slots"] = slots;
        CHECK((faultOf(spec) == DecodingFault::InvalidValue));
    }
    for (const char *pointer : {"/status/cold-left-ms", "/born"}) {
        CAPTURE(pointer);
        for (const Json &number : {Json(std::numeric_limits<std::int64_t>::max()), Json(std::numeric_limits<std::uint64_t>::max())}) {
            Json spec = sampleUpstream();
            spec[Json::json_pointer(pointer)] = number;
            CHECK((faultOf(spec) == DecodingFault::InvalidValue));
        }
    }
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "upstream_idThatCantBeSentInAHeader_isRejected")
{
    // The id is a header of each request to the upstream; a line break would add headers of the writer's choice.
    for (const std::string &name :
        {std::string("i\r\nX-Added: 1"), std::string("i 1"), std::string("i\0", 2), std::string("i\xc3\xa9"), std::string(), std::string(300, 'i')}) {
        CHECK((faultOf(sampleUpstream(), name) == DecodingFault::InvalidValue));
    }
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "vm_addressOrPortOutOfRange_isRejected")
{
    // Guards against an address that can't be resolved, which ended the process when a heartbeat was sent to it.
    const Steering::EntryVm vm{"vm-1", "a", "north", "10.0.0.1", 80, 81, 77, 0.2, 100};
    const std::vector<std::pair<const char *, Json>> faults = {{"ip", "no address"}, {"ip", "10.0.0.999"}, {"callerPort", 65'536}, {"callerPort", 0},
        {"peerPort", 70'000}, {"peerPort", -1}, {"processorShare", -1}, {"linkMbps", -5}};
    for (const auto &fault : faults) {
        CAPTURE(fault.first);
        Json spec = encodeVm(vm);
        spec[fault.first] = fault.second;
        CHECK_FALSE(tryDecode([&] { return decodeVm({"vm-1", 3, spec}); }));
    }
}

TEST_CASE_FIXTURE(ForeignEntryFixture, "manifest_numbersBeyondTheirRange_areLimited")
{
    Json spec = StandIns::sampleManifest();
    for (auto &[name, route] : spec["routes"].items()) {
        route["timeout-ms"] = 1e300;
        route["max-attempts"] = -1e300;
        route["priority"] = std::numeric_limits<std::uint64_t>::max();
    }
    const auto manifest = tryDecode([&] { return decodeManifest({"main", 5, spec}); });
    REQUIRE(manifest);
    for (const Steering::RouteRule &route : manifest.value->routes) {
        CHECK(route.timeoutMs > 0);
        CHECK(route.timeoutMs <= 86'400'000);
        CHECK(route.maxAttempts == 1);
        CHECK(route.priority >= 0);
    }
}
