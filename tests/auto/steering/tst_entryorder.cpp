#include <doctest/doctest.h>

#include <steering/entryorder.h>

#include <map>

using namespace Wasabistair::Steering;

namespace {

struct EntryOrderFixture {
    EntryOrderFixture()
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->generation = 1;
        configuration->objects.sites = {{"east", "r0", {"r0-a", "r0-b"}}, {"west", "r1", {"r1-a", "r1-b"}}};
        configuration->objects.fleets = {{"fleet", {{"r0", 6}, {"r1", 6}}}};
        configuration->blocks = ClientBlockMap({{0x0a000000, 8, "east"}, {0x0b000000, 8, "west"}}, configuration->objects.sites);
        inputs.configuration = configuration;
        inputs.ownRegion = "r0";
        for (int i = 0; i < 12; ++i) {
            const std::string region = i < 6 ? "r0" : "r1";
            const std::string zone = region + (i % 2 == 0 ? "-a" : "-b");
            inputs.vms.push_back({"e" + std::to_string(i), VmKind::Entry, VmState::Live, "h", 1, 2, region, zone, "", 0});
        }
    }

    std::map<std::string, int> firstChoices(const std::vector<std::string> &unavailable)
    {
        inputs.unavailableEntryVms = unavailable;
        const auto table = buildRoutingTable(inputs, nullptr);
        std::map<std::string, int> counts;
        for (std::uint32_t i = 0; i < 6'000; ++i) {
            const EntryOrder order = rankEntryVms(*table, 0x0a000000 + i * 256);
            ++counts[table->entryVms[order.vms.front()].id];
        }
        return counts;
    }

    RoutingInputs inputs;
};

} // namespace

TEST_CASE_FIXTURE(EntryOrderFixture, "rankEntryVms_callersOfASite_areSpreadEvenlyAlsoWithoutOneVm")
{
    // Each VM is within 25 % of the mean: 1000 with six VMs, 1200 with five.
    for (const auto &[vm, count] : firstChoices({})) {
        CHECK(count > 750);
        CHECK(count < 1250);
    }
    const auto without = firstChoices({"e2"});
    CHECK(without.size() == 5);
    for (const auto &[vm, count] : without) {
        CHECK(count > 900);
        CHECK(count < 1500);
    }
}

TEST_CASE_FIXTURE(EntryOrderFixture, "rankEntryVms_callerOfASite_getsOwnSiteFirstThenAnotherRegion")
{
    const auto table = buildRoutingTable(inputs, nullptr);
    const EntryOrder order = rankEntryVms(*table, 0x0b010203);
    REQUIRE(order.vms.size() == maxEntryVmsPerAnswer);
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(table->entryVms[order.vms[i]].region == "r1");
    }
    CHECK(table->entryVms[order.vms[3]].region == "r0");
    CHECK(rankEntryVms(*table, 0x0b0102ff).vms == order.vms);
    CHECK_FALSE(rankEntryVms(*table, 0x0c000000).site.has_value());
}
