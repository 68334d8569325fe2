#include <doctest/doctest.h>

#include <steering/decision.h>

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace Wasabistair::Steering;

namespace {

constexpr WallMs wallNow = 1'800'000'000'000;
constexpr MonotonicMs now = 1'000'000;
const std::vector<std::string> regions = {"r0", "r1", "r2"};

/// Three regions with one place each; which servers are usable is drawn at random.
struct World {
    std::shared_ptr<Configuration> configuration = std::make_shared<Configuration>();
    std::vector<Vm> vms;
    VmSlot slot{"r0", 0};

    std::shared_ptr<const RoutingTable> table(const RoutingTable *previous = nullptr) const
    {
        RoutingInputs inputs;
        inputs.configuration = configuration;
        inputs.vms = vms;
        inputs.ownRegion = slot.region;
        inputs.slot = slot;
        inputs.now = now;
        return buildRoutingTable(inputs, previous);
    }
};

World makeWorld(int vmSlots, int servers, std::int64_t slots, std::int64_t queue)
{
    World world;
    ObjectSet &set = world.configuration->objects;
    world.configuration->generation = 1;
    set.services.resize(1);
    set.services[0].name = "s";
    set.services[0].hosts = {"h"};
    Fleet fleet{"fleet", {}};
    for (const std::string &region : regions) {
        set.places.push_back({region + "-place", "s", region, {region + "-z"}, servers, slots, queue, 400, 75, 0});
        fleet.regions.push_back({region, vmSlots});
        for (int i = 0; i < servers; ++i) {
            world.vms.push_back({region + "-server" + std::to_string(i), VmKind::Upstream, VmState::Live, "h", 1, 0, region, region + "-z", "s", 0});
        }
    }
    set.fleets = {fleet};
    set.links = {{"a", {"r0", "r1"}, 4'000, 20, 50}, {"b", {"r0", "r2"}, 4'000, 30, 50}, {"c", {"r1", "r2"}, 4'000, 20, 50}};
    return world;
}

DecisionInput input(std::uint64_t random, const std::vector<std::string> *excluded = nullptr)
{
    return {0, "r0", now, wallNow, random, excluded};
}

} // namespace

TEST_CASE("decide_randomWorld_takesTheNearestPlaceWithAFreeUnitLikeNaive")
{
    CHECK(rc::check([] {
        World world = makeWorld(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 5), *rc::gen::inRange(1, 5), *rc::gen::inRange(0, 3));
        for (Vm &vm : world.vms) {
            vm.state = *rc::gen::inRange(0, 4) == 0 ? VmState::Leaving : VmState::Live;
        }
        const int stopKind = *rc::gen::inRange(0, 4);
        if (stopKind > 0) {
            world.configuration->objects.plannedStops = {{"stop", regions[stopKind - 1] + "-place", "", "", wallNow - 1, wallNow + 1'000}};
        }
        const auto table = world.table();
        // Naive: plain counts of what may still be taken, by server.
        std::map<std::string, std::int64_t> left;
        for (const PlaceEntry &place : table->places) {
            for (const ServerEntry &server : place.servers) {
                const bool stopped = stopKind > 0 && place.place.region == regions[stopKind - 1];
                const bool usable = server.vm.state == VmState::Live && !stopped;
                left[server.vm.id] = usable ? unitShare(place.place, world.configuration->objects.fleets[0], world.slot, server.vm.id) : 0;
            }
        }
        const int requests = *rc::gen::inRange(0, 40);
        for (int i = 0; i < requests; ++i) {
            std::string expected;
            for (const std::string region : {"r0", "r1", "r2"}) {
                for (const auto &[server, units] : left) {
                    if (expected.empty() && server.starts_with(region) && units > 0) {
                        expected = region;
                    }
                }
            }
            const Decision decision = decide(*table, input(*rc::gen::arbitrary<std::uint64_t>()));
            RC_ASSERT(decision.refusal.has_value() == expected.empty());
            if (decision.refusal) {
                RC_ASSERT(*decision.refusal == Refusal::NoHeadroom);
                continue;
            }
            const PlaceEntry &place = table->places[decision.place];
            RC_ASSERT(place.place.region == expected);
            RC_ASSERT(--left[place.servers[decision.server].vm.id] >= 0);
        }
    }));
}

TEST_CASE("decide_allVmsTogether_neverExceedSlotsAndQueueOfAServer")
{
    CHECK(rc::check([] {
        const int vmSlots = *rc::gen::inRange(1, 5);
        World world = makeWorld(vmSlots, 3, *rc::gen::inRange(1, 5), *rc::gen::inRange(0, 4));
        const std::int64_t capacity = world.configuration->objects.places[0].slotsPerServer + world.configuration->objects.places[0].queuePerServer;
        std::map<std::string, std::int64_t> occupied;
        std::vector<std::shared_ptr<const RoutingTable>> tables;
        for (const std::string &region : regions) {
            for (int i = 0; i < vmSlots; ++i) {
                world.slot = {region, i};
                // Each VM builds its table by itself and knows nothing of the others' requests.
                tables.push_back(world.table());
                while (true) {
                    DecisionInput request = input(*rc::gen::arbitrary<std::uint64_t>());
                    request.region = region;
                    const Decision decision = decide(*tables.back(), request);
                    if (decision.refusal) {
                        break;
                    }
                    const ServerEntry &server = tables.back()->places[decision.place].servers[decision.server];
                    RC_ASSERT(++occupied[server.vm.id] <= capacity);
                }
            }
        }
        // Nothing is lost either: all units of all servers were found.
        for (const Vm &vm : world.vms) {
            RC_ASSERT(occupied[vm.id] == capacity);
        }
    }));
}

TEST_CASE("decide_fleetGrows_noUnitIsUsedByTwoVmsDuringTheChange")
{
    CHECK(rc::check([] {
        const int before = *rc::gen::inRange(1, 4);
        const int after = before + *rc::gen::inRange(1, 4);
        World old = makeWorld(before, 2, *rc::gen::inRange(1, 6), *rc::gen::inRange(0, 6));
        World next = makeWorld(after, 2, old.configuration->objects.places[0].slotsPerServer, old.configuration->objects.places[0].queuePerServer);
        next.configuration->generation = 2;
        const std::int64_t capacity = old.configuration->objects.places[0].slotsPerServer + old.configuration->objects.places[0].queuePerServer;
        std::map<std::string, std::int64_t> sum;
        for (const std::string &region : regions) {
            for (int i = 0; i < after; ++i) {
                old.slot = {region, i};
                next.slot = {region, i};
                const auto oldTable = old.table();
                // Some VMs have the new generation in force already, some not yet; a new VM starts with it.
                const bool adopted = i >= before || *rc::gen::arbitrary<bool>();
                RoutingInputs inputs;
                inputs.configuration = next.configuration;
                inputs.vms = next.vms;
                inputs.ownRegion = region;
                inputs.slot = next.slot;
                inputs.now = now;
                inputs.firstHoldMs = unitGainHoldMs;
                const auto table = adopted ? buildRoutingTable(inputs, i < before ? oldTable.get() : nullptr) : oldTable;
                for (const PlaceEntry &place : table->places) {
                    for (const ServerEntry &server : place.servers) {
                        sum[server.vm.id] += usableUnits(*table, server, now, wallNow);
                    }
                }
            }
        }
        for (const auto &[server, units] : sum) {
            RC_ASSERT(units <= capacity);
        }
    }));
}

TEST_CASE("decide_shareShift_keepsCapAtEveryRequest")
{
    CHECK(rc::check([] {
        World world = makeWorld(1, 4, 40, 40);
        const std::int64_t cap = *rc::gen::inRange<std::int64_t>(1, 1001);
        world.configuration->objects.shifts = {{"shift", "s", "r0-place", "r1-place", cap, 0, 0, 0, noEnd, true}};
        const auto table = world.table();
        std::int64_t total = 0;
        std::int64_t moved = 0;
        for (int i = 0; i < 60; ++i) {
            const Decision decision = decide(*table, input(static_cast<std::uint64_t>(i)));
            if (decision.refusal) {
                break;
            }
            const bool landedElsewhere = table->places[decision.place].place.name == "r1-place";
            RC_ASSERT(landedElsewhere == decision.shift.has_value());
            total += table->places[decision.place].place.name == "r2-place" ? 0 : 1;
            moved += landedElsewhere ? 1 : 0;
            RC_ASSERT(moved * 1000 <= cap * total);
        }
    }));
}

TEST_CASE("decide_spillDuringAShift_countsAgainstItsCap")
{
    // With 8 slots the VM of r0 holds one unit of r1's server, so that a spill there is possible.
    World world = makeWorld(1, 1, 8, 0);
    world.configuration->objects.shifts = {{"shift", "s", "r0-place", "r1-place", 1, 0, 0, 0, noEnd, true}};
    const auto table = world.table();
    std::set<std::string> places;
    for (std::uint64_t i = 0; i < 20; ++i) {
        const Decision decision = decide(*table, input(i));
        if (!decision.refusal) {
            places.insert(table->places[decision.place].place.name);
        }
    }
    CHECK_FALSE(places.contains("r1-place"));
    world.configuration->objects.shifts[0].countSpill = false;
    const auto exempt = world.table();
    places.clear();
    for (std::uint64_t i = 0; i < 20; ++i) {
        const Decision decision = decide(*exempt, input(i));
        if (!decision.refusal) {
            places.insert(exempt->places[decision.place].place.name);
        }
    }
    CHECK(places.contains("r1-place"));
}

TEST_CASE("decide_chainedShifts_moveARequestAtMostOnce")
{
    World world = makeWorld(1, 2, 50, 0);
    world.configuration->objects.shifts
        = {{"ab", "s", "r0-place", "r1-place", 1000, 0, 0, 0, noEnd, true}, {"bc", "s", "r1-place", "r2-place", 1000, 0, 0, 0, noEnd, true}};
    const auto table = world.table();
    for (std::uint64_t i = 0; i < 10; ++i) {
        const Decision decision = decide(*table, input(i));
        REQUIRE_FALSE(decision.refusal.has_value());
        CHECK(table->places[decision.place].place.name == "r1-place");
    }
}

TEST_CASE("decide_withoutSlot_isRefused")
{
    const World world = makeWorld(1, 1, 4, 0);
    RoutingInputs inputs;
    inputs.configuration = world.configuration;
    inputs.vms = world.vms;
    inputs.ownRegion = "r0";
    const auto table = buildRoutingTable(inputs, nullptr);
    CHECK(decide(*table, input(1)).refusal == Refusal::NoSlot);
}

TEST_CASE("decide_leavingSeenInAnswers_takesTheServerOut")
{
    const World world = makeWorld(1, 1, 4, 0);
    const auto table = world.table();
    const ServerEntry &server = table->places[0].servers[0];
    CHECK(usableUnits(*table, server, now, wallNow) > 0);
    server.load->observeLeaving(now, 5'000);
    CHECK(usableUnits(*table, server, now, wallNow) == 0);
    CHECK(usableUnits(*table, server, now + 5'000, wallNow) > 0);
}

TEST_CASE("usableUnits_plannedStop_endsBeforeItsStartForClocksThatAreBehind")
{
    World world = makeWorld(1, 1, 4, 0);
    world.configuration->objects.plannedStops = {{"stop", "r0-place", "", "", wallNow, wallNow + 60'000}};
    const auto table = world.table();
    const ServerEntry &server = table->places[0].servers[0];
    CHECK(usableUnits(*table, server, now, wallNow - stopLeadMs - 1) > 0);
    CHECK(usableUnits(*table, server, now, wallNow - stopLeadMs) == 0);
    CHECK(usableUnits(*table, server, now, wallNow + 59'999) == 0);
    CHECK(usableUnits(*table, server, now, wallNow + 60'000) > 0);
}

TEST_CASE("routingTable_rebuilt_keepsCountersAndLoads")
{
    World world = makeWorld(1, 1, 4, 0);
    world.configuration->objects.shifts = {{"shift", "s", "r0-place", "r1-place", 500, 0, 0, 0, noEnd, true}};
    const auto first = world.table();
    const auto second = world.table(first.get());
    CHECK(first->places[0].servers[0].load == second->places[0].servers[0].load);
    CHECK(first->services[0].shifts[0].counters == second->services[0].shifts[0].counters);
    auto changed = std::make_shared<Configuration>(*world.configuration);
    changed->objects.shifts[0].capPermille = 100;
    world.configuration = changed;
    const auto third = world.table(second.get());
    CHECK(second->services[0].shifts[0].counters != third->services[0].shifts[0].counters);
}
