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
