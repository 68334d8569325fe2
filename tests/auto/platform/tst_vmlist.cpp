#include <doctest/doctest.h>

#include <platform/vmlist.h>

#include <nlohmann/json.hpp>

#include <rapidcheck.h>

using namespace Wasabistair;
using namespace Wasabistair::Platform;

namespace {

VmList randomList(Version version)
{
    VmList list{version, {}};
    for (int i = 0; i < 8; ++i) {
        if (*rc::gen::arbitrary<bool>()) {
            const auto state = *rc::gen::element(Steering::VmState::Live, Steering::VmState::Leaving);
            list.vms.push_back({"vm" + std::to_string(i), Steering::VmKind::Entry, state, "h", 1, 2, "r", "z", "", *rc::gen::inRange(0, 2)});
        }
    }
    return list;
}

} // namespace

TEST_CASE("listDelta_randomLists_transformsOneIntoTheOther")
{
    CHECK(rc::check([] {
        const VmList from = randomList(3);
        const VmList to = randomList(7);
        const auto read = deltaFromJson(deltaToJson(deltaBetween(from, to)));
        RC_ASSERT(read.has_value());
        RC_ASSERT(applyDelta(from, *read) == to);
        RC_ASSERT(applyDelta(from, deltaBetween({}, to)) == to);
        // A delta does not apply to a list of another version.
        RC_ASSERT(!applyDelta(randomList(4), *read).has_value());
        RC_ASSERT(vmListFromJson(vmListToJson(to)) == to);
    }));
}

TEST_CASE("vmList_oneVmCantBeRead_othersAreReturned")
{
    // Guards against one VM's entry that hides the whole list.
    const Steering::Vm vm{"vm1", Steering::VmKind::Entry, Steering::VmState::Live, "h", 1, 2, "r", "z", "", 0};
    const std::string whole = vmListToJson({7, {vm}}).dump();
    const std::string entry = whole.substr(whole.find('{', 1), whole.find('}') - whole.find('{', 1) + 1);
    for (const char *odd : {"{}", "1", R"({"id":5})", R"({"id":"x","port":1e400})", "{\"id\":\"\xff\"}"}) {
        CAPTURE(odd);
        const auto list = readVmList(R"({"version":7,"vms":[)" + std::string(odd) + "," + entry + "]}");
        REQUIRE(list);
        CHECK(list == VmList{7, {vm}});
    }
    // Guards against an entry that was cut short or damaged so that its brackets or quotes don't match.
    for (const char *damaged : {R"({"name":"vm-2")", R"({"id":"vm-2","zone":"z)", R"({"id":"vm-2","service":["a"})", R"({"id":"vm-2"}})", R"({"id":{"x":1})",
             R"({"id":"vm-2","host":"a\"})", "{", "{\"id\":\"}"}) {
        CAPTURE(damaged);
        for (const std::string &entries : {std::string(damaged) + "," + entry, entry + "," + damaged}) {
            CAPTURE(entries);
            const auto list = readVmList(R"({"version":7,"vms":[)" + entries + "]}");
            REQUIRE(list);
            CHECK(list == VmList{7, {vm}});
        }
    }
    for (const char *text : {"", "[]", "{}", R"({"vms":[]})", R"({"version":7})", R"({"version":7,"vms":[)", R"({"version":7,"vms":[{"id":"a"},{"id")",
             R"({"version":7,"vms":{}})", R"({"version":-1,"vms":[]})"}) {
        CAPTURE(text);
        CHECK_FALSE(readVmList(text));
    }
    CHECK(readVmList(R"({"version":7,"vms":[]})") == VmList{7, {}});
}
