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
/// Two report intervals, which is the most that a killed VM may lose, and a margin for a busy machine.
constexpr int settleMs = 3'000;

/// One region with two availability zones of three entry VMs. In each zone two of the VMs are elected readers.
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

    /// Sends requests to @p entries and adds the number of answered ones to @c answered.
    void load(const std::vector<Base::HostPort> &entries, int milliseconds)
    {
        LoadPlan plan = fleet.load(milliseconds, 6);
        plan.entries = entries;
        plan.pauseMs = 10;
        plan.idPrefix = "load" + std::to_string(loads++) + "-";
        answered += countResults(runLoad(plan))["answered"];
    }

    /// Number of answered requests in the review of the current month; 0 if the store cannot be read.
    std::uint64_t answeredInReview()
    {
        const auto sum = Platform::tryStore([&] { return Operators::readMonthFigures(fleet.store(), Operators::monthOf(Base::SystemClock().wall())); });
        if (!sum) {
            return 0;
        }
        const auto found = sum.value->places.find({"order-ledger", "order-ledger-leinster"});
        return found == sum.value->places.end() ? 0 : found->second.answered;
    }

    /// All entry VMs except @p excluded.
    std::vector<Base::HostPort> entriesExcept(const std::vector<std::size_t> &excluded) const
    {
        std::vector<Base::HostPort> result;
        for (std::size_t i = 0; i < fleet.entries().size(); ++i) {
            if (std::find(excluded.begin(), excluded.end(), i) == excluded.end()) {
                result.push_back(fleet.entries()[i]);
            }
        }
        return result;
    }

    /// The elected readers of the first VM's zone, which collect the figures of the zone.
    std::vector<std::size_t> zoneReaders() const
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
    CHECK(eventually([&] { return answeredInReview() == answered; }, 30'000));
    REQUIRE(zoneReaders().size() == 2);
    const std::size_t collector = zoneReaders().front();
    fleet.vms()[collector].process->signal(SIGSTOP);
    // Meanwhile the other VMs answer, and the other elected reader of the zone acquires the lease and writes.
    load(entriesExcept({collector}), 2'000);
    CHECK(eventually([&] { return answeredInReview() == answered; }, 90'000));
    fleet.vms()[collector].process->signal(SIGCONT);
    sleepMs(settleMs);
    CHECK(answeredInReview() == answered);
    CHECK(fleet.awaitReady(1, 60'000));
    load(fleet.entries(), 1'000);
    CHECK(eventually([&] { return answeredInReview() == answered; }, 90'000));
}

TEST_CASE_FIXTURE(FiguresFixture, "review_vmsKilledAndRestartedAndAnswersLost_countsEveryAnswerOnce")
{
    for (int round = 0; round < 4; ++round) {
        fleet.platform().setFaults({.loseWriteAnswers = 2});
        load(fleet.entries(), 1'000);
        fleet.platform().setFaults({});
        // Waits until every answer is reported, so that the kill loses none.
        CHECK(eventually([&] { return answeredInReview() == answered; }, 60'000));
        const auto killedVm = static_cast<std::size_t>(round);
        fleet.vms()[killedVm].process->kill();
        fleet.startVm(killedVm);
        CHECK(fleet.awaitReady(1, 60'000));
    }
    sleepMs(settleMs);
    CHECK(answeredInReview() == answered);
}
