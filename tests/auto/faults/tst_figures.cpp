#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <operators/reviewreader.h>
#include <standins/fleet.h>
#include <standins/oracle.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

constexpr int reportMs = 300;
/// Two report intervals, the most that a killed VM may lose, and a margin for a busy machine.
constexpr int settledMs = 3'000;

/// One region with two availability zones of three entry VMs: each zone has two relays and an ordinary VM.
struct FiguresFixture {
    FiguresFixture()
        : fleet([] {
            FleetPlan plan;
            plan.regions = {"leinster"};
            plan.entryVmsPerRegion = 6;
            plan.extraSettings = {"--report-interval-ms=" + std::to_string(reportMs)};
            return plan;
        }())
    {
        std::signal(SIGPIPE, SIG_IGN);
        const std::uint64_t generation = fleet.publish(fleet.objects());
        REQUIRE(generation == 1);
        fleet.startVms();
        REQUIRE(fleet.awaitReady(generation));
    }

    /// Calls on @p entries; counts what the callers saw answered.
    void load(const std::vector<Base::HostPort> &entries, int milliseconds)
    {
        LoadPlan plan = fleet.load(milliseconds, 6);
        plan.entries = entries;
        plan.pauseMs = 10;
        plan.idPrefix = "load" + std::to_string(loads++) + "-";
        answered += countResults(runLoad(plan))["answered"];
    }

    std::uint64_t reviewed()
    {
        const auto sum = Platform::tryStore([&] { return Operators::readMonth(fleet.store(), Operators::monthOf(Base::SystemClock().wall())); });
        if (!sum) {
            return 0;
        }
        const auto found = sum.value->places.find({"order-ledger", "order-ledger-leinster"});
        return found == sum.value->places.end() ? 0 : found->second.answered;
    }

    /// Entry VMs but those given.
    std::vector<Base::HostPort> entriesWithout(const std::vector<std::size_t> &left) const
    {
        std::vector<Base::HostPort> result;
        for (std::size_t i = 0; i < fleet.entries().size(); ++i) {
            if (std::find(left.begin(), left.end(), i) == left.end()) {
                result.push_back(fleet.entries()[i]);
            }
        }
        return result;
    }

    /// The two relays of the first VM's zone; they collect its figures.
    std::vector<std::size_t> relays() const
    {
        std::vector<std::size_t> result;
        for (std::size_t i = 0; i < fleet.entries().size(); i += 2) {
            if (fleet.status(i).value("relay", false)) {
                result.push_back(i);
            }
        }
        return result;
    }

    Fleet fleet;
    std::uint64_t answered = 0;
    int loads = 0;
};

} // namespace

TEST_CASE_FIXTURE(FiguresFixture, "review_collectorPausedLongAndContinued_countsEveryAnswerOnce")
{
    load(fleet.entries(), 2'000);
    CHECK(eventually([&] { return reviewed() == answered; }, 30'000));
    REQUIRE(relays().size() == 2);
    const std::size_t collector = relays().front();
    fleet.vms()[collector].process->signal(SIGSTOP);
    // Meanwhile the other VMs answer; the zone's other relay takes the lease over and writes.
    load(entriesWithout({collector}), 2'000);
    CHECK(eventually([&] { return reviewed() == answered; }, 90'000));
    fleet.vms()[collector].process->signal(SIGCONT);
    sleepMs(settledMs);
    CHECK(reviewed() == answered);
    CHECK(fleet.awaitReady(1, 60'000));
    load(fleet.entries(), 1'000);
    CHECK(eventually([&] { return reviewed() == answered; }, 90'000));
}

TEST_CASE_FIXTURE(FiguresFixture, "review_vmsKilledAndRestartedAndAnswersLost_countsEveryAnswerOnce")
{
    for (int round = 0; round < 4; ++round) {
        fleet.platform().setFaults({.loseWriteAnswers = 2});
        load(fleet.entries(), 1'000);
        fleet.platform().setFaults({});
        // Nothing is counted after the last report, so that a kill may lose nothing.
        CHECK(eventually([&] { return reviewed() == answered; }, 60'000));
        const auto victim = static_cast<std::size_t>(round);
        fleet.vms()[victim].process->kill();
        fleet.startVm(victim);
        CHECK(fleet.awaitReady(1, 60'000));
    }
    sleepMs(settledMs);
    CHECK(reviewed() == answered);
}
