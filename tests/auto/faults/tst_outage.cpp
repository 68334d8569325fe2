#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <standins/fleet.h>
#include <standins/oracle.h>
#include <standins/tcprelay.h>

#include <nlohmann/json.hpp>

#include <csignal>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

/// An accepted generation must be in force on all VMs within this time.
constexpr int inForceLimitMs = 5'000;
/// Time after a cut during which a relay may still forward the answer to a pending watch.
constexpr int cutSettleMs = 500;

FleetPlan planOf(int vmsPerRegion)
{
    FleetPlan plan;
    plan.entryVmsPerRegion = vmsPerRegion;
    plan.upstreamsPerRegion = 1;
    return plan;
}

struct OutageFixture {
    OutageFixture()
        : fleet(planOf(2))
    {
        std::signal(SIGPIPE, SIG_IGN);
        objects = fleet.objects();
    }

    void start()
    {
        const std::uint64_t generation = fleet.publish(objects);
        fleet.startVms();
        REQUIRE(fleet.awaitReady(generation));
        // Waits until every VM has all its links, before the fault begins.
        REQUIRE(eventually(
            [&] {
                for (std::size_t i = 0; i < fleet.vms().size(); ++i) {
                    const nlohmann::json status = fleet.status(i);
                    if (status.value("linksUp", 0) < status.value("linksWanted", 1)) {
                        return false;
                    }
                }
                return true;
            },
            30'000));
    }

    std::uint64_t publishNext()
    {
        objects.services[0].deadlineMs += 1;
        return fleet.publish(objects);
    }

    bool allInForce(std::uint64_t generation) const
    {
        for (std::size_t i = 0; i < const_cast<Fleet &>(fleet).vms().size(); ++i) {
            if (fleet.status(i).value("generation", std::uint64_t{0}) < generation) {
                return false;
            }
        }
        return true;
    }

    Fleet fleet;
    Steering::ObjectSet objects;
};

} // namespace

TEST_CASE_FIXTURE(OutageFixture, "generation_acceptedWithoutFaults_isInForceEverywhereInTime")
{
    start();
    for (int i = 0; i < 5; ++i) {
        const std::uint64_t generation = publishNext();
        REQUIRE(generation > 0);
        CHECK(eventually([&] { return allInForce(generation); }, inForceLimitMs));
    }
}

TEST_CASE_FIXTURE(OutageFixture, "generation_platformDownRightAfterOneVmHasIt_reachesTheOthers")
{
    // All VMs but the first reach the platform through a relay that is cut right before the publication.
    TcpRelay relay(fleet.platform().port());
    for (std::size_t i = 1; i < fleet.vms().size(); ++i) {
        fleet.setPlatformPort(i, relay.port());
    }
    start();
    relay.setMode(RelayMode::Disconnect);
    sleepMs(cutSettleMs);
    const std::uint64_t generation = publishNext();
    REQUIRE(eventually([&] { return fleet.status(0).value("generation", std::uint64_t{0}) >= generation; }, inForceLimitMs));
    fleet.platform().setFaults({.down = true});
    CHECK(eventually([&] { return allInForce(generation); }, inForceLimitMs));
}

TEST_CASE_FIXTURE(OutageFixture, "generation_athirdOfTheVmsCutFromThePlatform_isInForceInTime")
{
    TcpRelay relay(fleet.platform().port());
    for (const std::size_t i : {0U, 3U}) {
        fleet.setPlatformPort(i, relay.port());
    }
    start();
    relay.setMode(RelayMode::Blackhole);
    sleepMs(cutSettleMs);
    const std::uint64_t generation = publishNext();
    CHECK(eventually([&] { return allInForce(generation); }, inForceLimitMs));
}

TEST_CASE_FIXTURE(OutageFixture, "requests_platformDownForLong_areServedAsBefore")
{
    start();
    fleet.platform().setFaults({.down = true});
    // Longer than the time after which the slots of missing VMs may be claimed, and than every contact limit.
    sleepMs(35'000);
    LoadPlan plan = fleet.load(1'500, 6);
    plan.pauseMs = 10;
    const std::vector<CallerRecord> records = runLoad(plan);
    auto counts = countResults(records);
    CHECK(counts["answered"] == records.size());
    fleet.platform().setFaults({});
    const std::uint64_t generation = publishNext();
    CHECK(eventually([&] { return allInForce(generation); }, 2 * inForceLimitMs));
}

TEST_CASE_FIXTURE(OutageFixture, "newVm_platformDown_startsFromPeersWithTheHighestGeneration")
{
    start();
    const std::uint64_t generation = publishNext();
    REQUIRE(eventually([&] { return allInForce(generation); }, inForceLimitMs));
    fleet.platform().setFaults({.down = true});
    fleet.vms()[5].process->kill();
    // Without peers the VM has no generation and reports that it is not ready.
    fleet.startVm(5);
    sleepMs(2'000);
    CHECK(fleet.status(5).value("generation", std::uint64_t{99}) == 0);
    CHECK_FALSE(fleet.status(5).value("ready", true));
}

TEST_CASE_FIXTURE(OutageFixture, "newVm_platformDownWithSeeds_takesThePeersGenerationAndIsReadyOnceItHasASlot")
{
    start();
    const std::uint64_t generation = publishNext();
    REQUIRE(eventually([&] { return allInForce(generation); }, inForceLimitMs));
    fleet.platform().setFaults({.down = true});
    fleet.vms()[5].process->kill();
    std::string seeds;
    for (std::size_t i = 0; i < 5; ++i) {
        const Steering::Vm &vm = fleet.vms()[i].vm;
        seeds += (seeds.empty() ? "" : ",") + vm.host + ":" + std::to_string(vm.nodePort);
    }
    fleet.startVm(5, {"--seeds=" + seeds});
    std::uint64_t first = 0;
    const auto started = [&] {
        first = fleet.status(5).value("generation", std::uint64_t{0});
        return first > 0;
    };
    CHECK(eventually(started, 30'000));
    // No lower generation was in force before, and without a slot the VM sends no request to any upstream.
    CHECK(first == generation);
    CHECK_FALSE(fleet.status(5).value("ready", true));
    CallerClient client(fleet.entries()[5], 10'000);
    CallerRequest request;
    request.id = "early";
    request.host = "orders.test";
    CHECK(client.call(request).result == CallerResult::NotExecuted);
    CHECK(fleet.runCountsById().empty());
    request.host = "any.test";
    request.path = "/v1/lookup?service=order-ledger";
    const CallerRecord lookUp = client.call(request);
    CHECK(lookUp.status == 200);
    CHECK(lookUp.body.find("\"generation\":" + std::to_string(generation)) != std::string::npos);
    fleet.platform().setFaults({});
    CHECK(fleet.awaitReady(generation, 60'000));
}

TEST_CASE_FIXTURE(OutageFixture, "generation_whileVmsDieAndPublishersRace_neverGoesBack")
{
    start();
    std::atomic<bool> stop{false};
    std::vector<std::uint64_t> highest(fleet.vms().size(), 0);
    std::vector<std::uint64_t> accepted;
    int reverted = 0;
    std::thread watcher([&] {
        while (!stop) {
            for (std::size_t i = 0; i < highest.size(); ++i) {
                const std::uint64_t seen = fleet.status(i).value("generation", std::uint64_t{0});
                // A process that has just started has no generation in force yet, reports 0 and is not ready.
                reverted += seen > 0 && seen < highest[i] ? 1 : 0;
                highest[i] = std::max(highest[i], seen);
            }
        }
    });
    for (int round = 0; round < 6; ++round) {
        fleet.platform().setFaults({.loseWriteAnswers = round % 3});
        accepted.push_back(publishNext());
        fleet.platform().setFaults({.down = round % 2 == 0, .vmListLagMs = 1'000});
        fleet.vms()[static_cast<std::size_t>(round) % 6].process->signal(SIGSTOP);
        fleet.vms()[static_cast<std::size_t>(round + 1) % 6].process->kill();
        sleepMs(700);
        fleet.platform().setFaults({});
        fleet.startVm(static_cast<std::size_t>(round + 1) % 6);
        fleet.vms()[static_cast<std::size_t>(round) % 6].process->signal(SIGCONT);
        sleepMs(500);
    }
    CHECK(eventually([&] { return allInForce(accepted.back()); }, 30'000));
    stop = true;
    watcher.join();
    CHECK(reverted == 0);
    CHECK(accepted.back() >= 6);
}
