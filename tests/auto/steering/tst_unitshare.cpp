#include <doctest/doctest.h>

#include <steering/unitshare.h>

#include <rapidcheck.h>

using namespace Wasabistair::Steering;

namespace {

rc::Gen<Fleet> fleets()
{
    return rc::gen::exec([] {
        Fleet fleet{"fleet", {}};
        const int regions = *rc::gen::inRange(1, 5);
        for (int i = 0; i < regions; ++i) {
            fleet.regions.push_back({"r" + std::to_string(i), *rc::gen::inRange<std::int64_t>(1, 240)});
        }
        return fleet;
    });
}

Place placeOf(const std::string &region, std::int64_t slots, std::int64_t queue, std::int64_t localShare)
{
    return {"p", "s", region, {"z"}, 1, slots, queue, 400, localShare, 0};
}

} // namespace

TEST_CASE("unitShare_anyFleet_sumsToExactlySlotsAndQueue")
{
    CHECK(rc::check([] {
        const Fleet fleet = *fleets();
        const auto slots = *rc::gen::inRange<std::int64_t>(1, 50);
        const auto queue = *rc::gen::inRange<std::int64_t>(0, 50);
        const std::string region = *rc::gen::element<std::string>("r0", "r1", "elsewhere");
        const Place place = placeOf(region, slots, queue, *rc::gen::inRange<std::int64_t>(1, 101));
        const std::string server = "server-" + std::to_string(*rc::gen::inRange(0, 1000));
        std::int64_t sum = 0;
        for (const FleetRegion &entry : fleet.regions) {
            for (std::int64_t i = 0; i < entry.vmSlots; ++i) {
                const std::int64_t share = unitShare(place, fleet, {entry.region, i}, server);
                RC_ASSERT(share >= 0);
                sum += share;
            }
        }
        RC_ASSERT(sum == slots + queue);
    }));
}

TEST_CASE("unitShare_slotOutsideTheFleet_isZero")
{
    const Fleet fleet{"fleet", {{"r0", 2}}};
    CHECK(unitShare(placeOf("r0", 4, 4, 75), fleet, {"r0", 2}, "x") == 0);
    CHECK(unitShare(placeOf("r0", 4, 4, 75), fleet, {"r1", 0}, "x") == 0);
    CHECK(unitShare(placeOf("r0", 4, 4, 75), fleet, {"r0", -1}, "x") == 0);
}

TEST_CASE("evenPart_anyTotal_sumsToTotalAndDiffersByAtMostOne")
{
    CHECK(rc::check([](std::uint64_t offset) {
        const auto total = *rc::gen::inRange<std::int64_t>(0, 10'000);
        const auto count = *rc::gen::inRange<std::int64_t>(1, 700);
        std::int64_t sum = 0;
        for (std::int64_t i = 0; i < count; ++i) {
            const std::int64_t part = evenPart(total, count, i, offset);
            RC_ASSERT(part == total / count || part == total / count + 1);
            sum += part;
        }
        RC_ASSERT(sum == total);
    }));
}
