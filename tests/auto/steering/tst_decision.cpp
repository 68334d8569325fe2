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

/// Three regions with one place each.
struct TestSetup {
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

TestSetup makeSetup(int vmSlots, int servers, std::int64_t slots, std::int64_t queue)
{
    TestSetup setup;
    ObjectSet &set = setup.configuration->objects;
    setup.configuration->generation = 1;
    set.services.resize(1);
    set.services[0].name = "s";
    set.services[0].hosts = {"h"};
    Fleet fleet{"fleet", {}};
    for (const std::string &region : regions) {
        set.places.push_back({region + "-place", "s", region, {region + "-z"}, servers, slots, queue, 400, 75, 0});
        fleet.regions.push_back({region, vmSlots});
        for (int i = 0; i < servers; ++i) {
            setup.vms.push_back({region + "-server" + std::to_string(i), VmKind::Upstream, VmState::Live, "h", 1, 0, region, region + "-z", "s", 0});
        }
    }
    set.fleets = {fleet};
    set.links = {{"a", {"r0", "r1"}, 4'000, 20, 50}, {"b", {"r0", "r2"}, 4'000, 30, 50}, {"c", {"r1", "r2"}, 4'000, 20, 50}};
    return setup;
}

DecisionInput input(std::uint64_t random, const std::vector<std::string> *excluded = nullptr)
{
    return {0, "r0", now, wallNow, random, excluded};
}

} // namespace

TEST_CASE("decide_randomSetup_choosesTheNearestPlaceWithAFreeUnit")
{
    CHECK(rc::check([] {
        TestSetup setup = makeSetup(*rc::gen::inRange(1, 4), *rc::gen::inRange(1, 5), *rc::gen::inRange(1, 5), *rc::gen::inRange(0, 3));
        for (Vm &vm : setup.vms) {
            vm.state = *rc::gen::inRange(0, 4) == 0 ? VmState::Leaving : VmState::Live;
        }
        const int stopKind = *rc::gen::inRange(0, 4);
        if (stopKind > 0) {
            setup.configuration->objects.plannedStops = {{"stop", regions[stopKind - 1] + "-place", "", "", wallNow - 1, wallNow + 1'000}};
        }
        const auto table = setup.table();
        // Reference model: the number of units still free, by server.
        std::map<std::string, std::int64_t> freeUnits;
        for (const PlaceEntry &place : table->places) {
            for (const ServerEntry &server : place.servers) {
                const bool stopped = stopKind > 0 && place.place.region == regions[stopKind - 1];
                const bool usable = server.vm.state == VmState::Live && !stopped;
                freeUnits[server.vm.id] = usable ? unitShare(place.place, setup.configuration->objects.fleets[0], setup.slot, server.vm.id) : 0;
            }
        }
        const int requests = *rc::gen::inRange(0, 40);
        for (int i = 0; i < requests; ++i) {
            std::string expected;
            for (const std::string region : {"r0", "r1", "r2"}) {
                for (const auto &[server, units] : freeUnits) {
                    if (expected.empty() && server.starts_with(region) && units > 0) {
                        expected = region;
                    }
                }
            }
            const Decision decision = decide(*table, input(*rc::gen::arbitrary<std::uint64_t>()));
            RC_ASSERT(decision.failure.has_value() == expected.empty());
            if (decision.failure) {
                RC_ASSERT(*decision.failure == RoutingFailure::NoHeadroom);
                continue;
            }
            const PlaceEntry &place = table->places[decision.place];
            RC_ASSERT(place.place.region == expected);
            RC_ASSERT(--freeUnits[place.servers[decision.server].vm.id] >= 0);
        }
    }));
}

TEST_CASE("decide_allVmsTogether_neverExceedSlotsAndQueueOfAServer")
{
    CHECK(rc::check([] {
        const int vmSlots = *rc::gen::inRange(1, 5);
        TestSetup setup = makeSetup(vmSlots, 3, *rc::gen::inRange(1, 5), *rc::gen::inRange(0, 4));
        const std::int64_t capacity = setup.configuration->objects.places[0].slotsPerServer + setup.configuration->objects.places[0].queuePerServer;
        std::map<std::string, std::int64_t> occupied;
        std::vector<std::shared_ptr<const RoutingTable>> tables;
        for (const std::string &region : regions) {
            for (int i = 0; i < vmSlots; ++i) {
                setup.slot = {region, i};
                // Each VM builds its own table and has no information about the requests of the others.
                tables.push_back(setup.table());
                while (true) {
                    DecisionInput request = input(*rc::gen::arbitrary<std::uint64_t>());
                    request.region = region;
                    const Decision decision = decide(*tables.back(), request);
                    if (decision.failure) {
                        break;
                    }
                    const ServerEntry &server = tables.back()->places[decision.place].servers[decision.server];
                    RC_ASSERT(++occupied[server.vm.id] <= capacity);
                }
            }
        }
        // Together the VMs occupy all units of all servers.
        for (const Vm &vm : setup.vms) {
            RC_ASSERT(occupied[vm.id] == capacity);
        }
    }));
}

TEST_CASE("decide_fleetGrows_noUnitIsUsedByTwoVmsDuringTheChange")
{
    CHECK(rc::check([] {
        const int before = *rc::gen::inRange(1, 4);
        const int after = before + *rc::gen::inRange(1, 4);
        TestSetup old = makeSetup(before, 2, *rc::gen::inRange(1, 6), *rc::gen::inRange(0, 6));
        TestSetup next = makeSetup(after, 2, old.configuration->objects.places[0].slotsPerServer, old.configuration->objects.places[0].queuePerServer);
        next.configuration->generation = 2;
        const std::int64_t capacity = old.configuration->objects.places[0].slotsPerServer + old.configuration->objects.places[0].queuePerServer;
        std::map<std::string, std::int64_t> sum;
        for (const std::string &region : regions) {
            for (int i = 0; i < after; ++i) {
                old.slot = {region, i};
                next.slot = {region, i};
                const auto oldTable = old.table();
                // Existing VMs may or may not have applied the new generation yet; a new VM starts with it.
                const bool applied = i >= before || *rc::gen::arbitrary<bool>();
                RoutingInputs inputs;
                inputs.configuration = next.configuration;
                inputs.vms = next.vms;
                inputs.ownRegion = region;
                inputs.slot = next.slot;
                inputs.now = now;
                inputs.firstHoldMs = unitGainHoldMs;
                const auto table = applied ? buildRoutingTable(inputs, i < before ? oldTable.get() : nullptr) : oldTable;
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
        TestSetup setup = makeSetup(1, 4, 40, 40);
        const std::int64_t cap = *rc::gen::inRange<std::int64_t>(1, 1001);
        setup.configuration->objects.shifts = {{"shift", "s", "r0-place", "r1-place", cap, 0, 0, 0, noEnd, true}};
        const auto table = setup.table();
        std::int64_t total = 0;
        std::int64_t moved = 0;
        for (int i = 0; i < 60; ++i) {
            const Decision decision = decide(*table, input(static_cast<std::uint64_t>(i)));
            if (decision.failure) {
                break;
            }
            const bool wasMoved = table->places[decision.place].place.name == "r1-place";
            RC_ASSERT(wasMoved == decision.shift.has_value());
            total += table->places[decision.place].place.name == "r2-place" ? 0 : 1;
            moved += wasMoved ? 1 : 0;
            RC_ASSERT(moved * 1000 <= cap * total);
        }
    }));
}

TEST_CASE("decide_spillDuringAShift_countsAgainstItsCap")
{
    // With 8 slots the VM of r0 holds one unit of r1's server, so that a spill there is possible.
    TestSetup setup = makeSetup(1, 1, 8, 0);
    setup.configuration->objects.shifts = {{"shift", "s", "r0-place", "r1-place", 1, 0, 0, 0, noEnd, true}};
    const auto table = setup.table();
    std::set<std::string> places;
    for (std::uint64_t i = 0; i < 20; ++i) {
        const Decision decision = decide(*table, input(i));
        if (!decision.failure) {
            places.insert(table->places[decision.place].place.name);
        }
    }
    CHECK_FALSE(places.contains("r1-place"));
    setup.configuration->objects.shifts[0].countSpill = false;
    const auto exempt = setup.table();
    places.clear();
    for (std::uint64_t i = 0; i < 20; ++i) {
        const Decision decision = decide(*exempt, input(i));
        if (!decision.failure) {
            places.insert(exempt->places[decision.place].place.name);
        }
    }
    CHECK(places.contains("r1-place"));
}

TEST_CASE("decide_chainedShifts_moveARequestAtMostOnce")
{
    TestSetup setup = makeSetup(1, 2, 50, 0);
    setup.configuration->objects.shifts
        = {{"ab", "s", "r0-place", "r1-place", 1000, 0, 0, 0, noEnd, true}, {"bc", "s", "r1-place", "r2-place", 1000, 0, 0, 0, noEnd, true}};
    const auto table = setup.table();
    for (std::uint64_t i = 0; i < 10; ++i) {
        const Decision decision = decide(*table, input(i));
        REQUIRE_FALSE(decision.failure.has_value());
        CHECK(table->places[decision.place].place.name == "r1-place");
    }
}

TEST_CASE("decide_withoutVmSlot_reportsNoSlot")
{
    const TestSetup setup = makeSetup(1, 1, 4, 0);
    RoutingInputs inputs;
    inputs.configuration = setup.configuration;
    inputs.vms = setup.vms;
    inputs.ownRegion = "r0";
    const auto table = buildRoutingTable(inputs, nullptr);
    CHECK(decide(*table, input(1)).failure == RoutingFailure::NoSlot);
}

TEST_CASE("decide_serverAnnouncesLeaving_isNotUsed")
{
    const TestSetup setup = makeSetup(1, 1, 4, 0);
    const auto table = setup.table();
    const ServerEntry &server = table->places[0].servers[0];
    CHECK(usableUnits(*table, server, now, wallNow) > 0);
    server.load->observeLeaving(now, 5'000);
    CHECK(usableUnits(*table, server, now, wallNow) == 0);
    CHECK(usableUnits(*table, server, now + 5'000, wallNow) > 0);
}

TEST_CASE("usableUnits_plannedStop_isZeroFromTheLeadTimeBeforeItsStart")
{
    TestSetup setup = makeSetup(1, 1, 4, 0);
    setup.configuration->objects.plannedStops = {{"stop", "r0-place", "", "", wallNow, wallNow + 60'000}};
    const auto table = setup.table();
    const ServerEntry &server = table->places[0].servers[0];
    CHECK(usableUnits(*table, server, now, wallNow - stopLeadMs - 1) > 0);
    CHECK(usableUnits(*table, server, now, wallNow - stopLeadMs) == 0);
    CHECK(usableUnits(*table, server, now, wallNow + 59'999) == 0);
    CHECK(usableUnits(*table, server, now, wallNow + 60'000) > 0);
}

TEST_CASE("routingTable_rebuilt_keepsServerLoadsAndCountersOfUnchangedShifts")
{
    TestSetup setup = makeSetup(1, 1, 4, 0);
    setup.configuration->objects.shifts = {{"shift", "s", "r0-place", "r1-place", 500, 0, 0, 0, noEnd, true}};
    const auto first = setup.table();
    const auto second = setup.table(first.get());
    CHECK(first->places[0].servers[0].load == second->places[0].servers[0].load);
    CHECK(first->services[0].shifts[0].counters == second->services[0].shifts[0].counters);
    auto changed = std::make_shared<Configuration>(*setup.configuration);
    changed->objects.shifts[0].capPermille = 100;
    setup.configuration = changed;
    const auto third = setup.table(second.get());
    CHECK(second->services[0].shifts[0].counters != third->services[0].shifts[0].counters);
}
