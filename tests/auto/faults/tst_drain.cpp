#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <standins/fleet.h>
#include <standins/oracle.h>
#include <standins/tcprelay.h>

#include <base/clock.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

/// An announced drain, or the start of a planned stop, must take effect within this time.
constexpr std::int64_t effectLimitMs = 3'000;

struct DrainFixture {
    DrainFixture()
        : fleet(FleetPlan{})
    {
        std::signal(SIGPIPE, SIG_IGN);
        objects = fleet.objects();
    }

    void start()
    {
        generation = fleet.publish(objects);
        fleet.startVms();
        REQUIRE(fleet.awaitReady(generation));
    }

    LoadPlan load(int milliseconds) const
    {
        LoadPlan plan = fleet.load(milliseconds, 12);
        plan.pauseMs = 3;
        plan.postPercent = 40;
        return plan;
    }

    std::int64_t lastStart(std::size_t upstream) const
    {
        std::int64_t last = 0;
        for (const RunRecord &record : fleetUpstreams().at(upstream)->record()) {
            last = std::max(last, record.start);
        }
        return last;
    }

    const std::vector<std::unique_ptr<FakeUpstream>> &fleetUpstreams() const
    {
        return const_cast<Fleet &>(fleet).upstreams();
    }

    static std::int64_t wallMs()
    {
        return Base::SystemClock().wall();
    }

    void checkNoRequestFailed(const std::vector<CallerRecord> &records)
    {
        auto counts = countResults(records);
        CHECK(counts["cut"] == 0);
        CHECK(counts["unknown"] == 0);
        CHECK(counts["no-answer"] == 0);
        CHECK(counts["answered"] > 200);
        const OracleFindings findings = compareRecords(records, fleet.runCountsById());
        INFO(describe(findings));
        CHECK(findings.clean());
    }

    Fleet fleet;
    Steering::ObjectSet objects;
    std::uint64_t generation = 0;
};

} // namespace

TEST_CASE_FIXTURE(DrainFixture, "leaving_announcedByTheList_endsNewWorkWithinThreeSeconds")
{
    start();
    std::vector<CallerRecord> records;
    std::thread callers([&] { records = runLoad(load(8'000)); });
    sleepMs(2'000);
    const std::int64_t announcedAtMs = wallMs();
    fleet.publishVmList({}, {"leinster-server-0"});
    callers.join();
    CHECK(lastStart(0) > 0);
    CHECK(lastStart(0) <= announcedAtMs + effectLimitMs);
    checkNoRequestFailed(records);
}

TEST_CASE_FIXTURE(DrainFixture, "leaving_announcedByTheServerOnly_endsNewWorkWithinThreeSeconds")
{
    start();
    std::vector<CallerRecord> records;
    std::thread callers([&] { records = runLoad(load(8'000)); });
    sleepMs(2'000);
    const std::int64_t announcedAtMs = wallMs();
    fleet.upstreams()[0]->setLeaving(true);
    callers.join();
    CHECK(lastStart(0) > 0);
    CHECK(lastStart(0) <= announcedAtMs + effectLimitMs);
    checkNoRequestFailed(records);
}

TEST_CASE_FIXTURE(DrainFixture, "leaving_platformDownAndListLying_isStillSeenFromTheServer")
{
    start();
    fleet.platform().setFaults({.down = true});
    std::vector<CallerRecord> records;
    std::thread callers([&] { records = runLoad(load(8'000)); });
    sleepMs(2'000);
    const std::int64_t announcedAtMs = wallMs();
    fleet.upstreams()[2]->setLeaving(true);
    callers.join();
    CHECK(lastStart(2) <= announcedAtMs + effectLimitMs);
    checkNoRequestFailed(records);
}

TEST_CASE_FIXTURE(DrainFixture, "plannedStop_knownAhead_takesEffectOnVmsCutOffFromThePlatform")
{
    const std::int64_t stopAtMs = wallMs() + 12'000;
    objects.plannedStops = {{"stop", "order-ledger-leinster", "", "", stopAtMs, stopAtMs + 600'000}};
    start();
    fleet.platform().setFaults({.down = true});
    while (wallMs() < stopAtMs - 2'500) {
        sleepMs(20);
    }
    LoadPlan plan = load(6'000);
    // With 700 ms per request, some are in flight when the stop begins.
    plan.headers = {{"X-Service-Ms", "700"}};
    plan.callers = 6;
    const std::vector<CallerRecord> records = runLoad(plan);
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK(lastStart(i) > 0);
        CHECK(lastStart(i) <= stopAtMs + effectLimitMs);
        for (const RunRecord &record : fleet.upstreams()[i]->record()) {
            CHECK(record.completed);
        }
    }
    auto counts = countResults(records);
    CHECK(counts["cut"] == 0);
    CHECK(counts["unknown"] == 0);
    CHECK(counts["answered"] > 10);
}

TEST_CASE_FIXTURE(DrainFixture, "plannedStop_ended_leavesItsDrainTimeInTheReviewAlsoWhenTheVmDies")
{
    const std::int64_t stopAtMs = wallMs() + 9'000;
    objects.plannedStops = {{"stop", "order-ledger-leinster", "", "", stopAtMs, stopAtMs + 600'000}};
    start();
    LoadPlan plan = load(3'000);
    // The requests begin shortly before the stop and, at 3 s each, end after its start.
    plan.headers = {{"X-Service-Ms", "3000"}};
    plan.callers = 3;
    while (wallMs() < stopAtMs - 2'000) {
        sleepMs(20);
    }
    static_cast<void>(runLoad(plan));
    // VMs report every second, and the lease holder of the zone writes the zone's object with each of its own reports.
    const auto longestDrainMs = [&]() -> std::int64_t {
        std::int64_t longest = -1;
        for (const auto &[key, value] : fleet.platform().objects()) {
            if (!key.starts_with("wasabistair/review/")) {
                continue;
            }
            const nlohmann::json json = nlohmann::json::parse(value.value);
            for (const auto &entry : json["live"]) {
                for (const auto &stop : entry["figures"]["stops"]) {
                    longest = std::max<std::int64_t>(longest, stop["lastEnd"].get<std::int64_t>() - stop["start"].get<std::int64_t>());
                }
            }
        }
        return longest;
    };
    CHECK(eventually([&] { return longestDrainMs() >= 500; }, 20'000));
    const std::int64_t beforeKillMs = longestDrainMs();
    fleet.vms()[0].process->kill();
    sleepMs(3'000);
    CHECK(longestDrainMs() == beforeKillMs);
    CHECK(beforeKillMs <= 3'500);
}

TEST_CASE_FIXTURE(DrainFixture, "ownVm_sigtermUnderLoad_cutsNothing")
{
    start();
    std::vector<CallerRecord> records;
    LoadPlan plan = load(6'000);
    plan.headers = {{"X-Service-Ms", "150"}};
    plan.callers = 9;
    // Real callers stop using a draining VM once their look-up answer has expired. These go on until their connection is closed
    // between two requests.
    plan.entries = {fleet.entries()[1]};
    std::thread callers([&] { records = runLoad(plan); });
    sleepMs(1'500);
    fleet.vms()[1].process->signal(SIGTERM);
    CHECK(fleet.vms()[1].process->waitFor(30'000) == 0);
    callers.join();
    auto counts = countResults(records);
    CHECK(counts["cut"] == 0);
    CHECK(counts["answered"] > 50);
    const OracleFindings findings = compareRecords(records, fleet.runCountsById());
    INFO(describe(findings));
    CHECK(findings.clean());
    // Every request that an upstream accepted was completed.
    for (const auto &upstream : fleet.upstreams()) {
        for (const RunRecord &record : upstream->record()) {
            CHECK(record.completed);
        }
    }
}
