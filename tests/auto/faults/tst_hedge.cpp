#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <standins/fleet.h>
#include <standins/oracle.h>

#include <nlohmann/json.hpp>

#include <csignal>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

constexpr std::int64_t callerDeadlineMs = 10'000;

/// One region with three upstreams.
struct HedgeFixture {
    HedgeFixture()
        : fleet([] {
            FleetPlan plan;
            plan.regions = {"leinster"};
            plan.upstreamsPerRegion = 3;
            plan.slots = 8;
            plan.queue = 8;
            return plan;
        }())
    {
        std::signal(SIGPIPE, SIG_IGN);
        objects = fleet.objects();
        objects.services[0].deadlineMs = callerDeadlineMs;
        objects.services[0].progressTimeoutMs = callerDeadlineMs;
    }

    void start(std::int64_t hedgeAfterMs, std::int64_t retryPercent)
    {
        objects.services[0].hedgeAfterMs = hedgeAfterMs;
        objects.services[0].retryPercent = retryPercent;
        const std::uint64_t generation = fleet.publish(objects);
        fleet.startVms();
        REQUIRE(fleet.awaitReady(generation));
    }

    LoadPlan load(int milliseconds, int postPercent) const
    {
        LoadPlan plan = fleet.load(milliseconds, 6);
        plan.pauseMs = 5;
        plan.postPercent = postPercent;
        return plan;
    }

    std::uint64_t executionCount() const
    {
        std::uint64_t sum = 0;
        for (const auto &upstream : const_cast<Fleet &>(fleet).upstreams()) {
            sum += upstream->statistics().ran;
        }
        return sum;
    }

    Fleet fleet;
    Steering::ObjectSet objects;
};

} // namespace

TEST_CASE_FIXTURE(HedgeFixture, "read_serverHangs_isAnsweredByTheHedgeAndTheHungAttemptIsCancelled")
{
    start(50, 100);
    // The first upstream hangs: it runs requests and does not answer them before the deadline.
    fleet.upstreams()[0]->setServiceMs(60'000);
    const std::vector<CallerRecord> records = runLoad(load(3'000, 0));
    auto counts = countResults(records);
    CHECK(counts["answered"] == records.size());
    CHECK(compareRecords(records, fleet.runCountsById()).wrongAnswers.empty());
    CHECK(eventually([&] { return fleet.upstreams()[0]->statistics().cancelled == fleet.upstreams()[0]->statistics().ran; }, 20'000));
    CHECK(fleet.upstreams()[0]->statistics().cancelled > 0);
    for (const auto &upstream : fleet.upstreams()) {
        CHECK(upstream->statistics().shed == 0);
    }
}

TEST_CASE_FIXTURE(HedgeFixture, "orders_serversSlowerThanTheHedge_runAtMostOnce")
{
    start(20, 100);
    for (const auto &upstream : fleet.upstreams()) {
        upstream->setServiceMs(80);
    }
    const std::vector<CallerRecord> records = runLoad(load(3'000, 100));
    CHECK(compareRecords(records, fleet.runCountsById()).clean());
    CHECK(countResults(records)["answered"] == records.size());
    CHECK(executionCount() == records.size());
}

TEST_CASE_FIXTURE(HedgeFixture, "reads_allServersSlowerThanTheHedge_hedgeWithinTheBudget")
{
    start(20, 10);
    for (const auto &upstream : fleet.upstreams()) {
        upstream->setServiceMs(80);
    }
    const std::vector<CallerRecord> records = runLoad(load(4'000, 0));
    CHECK(countResults(records)["answered"] == records.size());
    CHECK(executionCount() > records.size());
    // The retry budget of each VM is 10% of its first attempts.
    CHECK((executionCount() - records.size()) * 100 <= 10 * records.size());
}

TEST_CASE_FIXTURE(HedgeFixture, "read_bothAttemptsFail_isNotReportedAsNotRun")
{
    start(50, 100);
    CallerClient client(fleet.entries()[0], 20'000);
    for (int i = 0; i < 4; ++i) {
        // On every upstream the request runs for longer than the hedge delay, then its connection is reset.
        const CallerRecord record
            = client.call({"reset" + std::to_string(i), "GET", "orders.test", "/x", 0, false, {{"X-Fault", "reset-after-run"}, {"X-Service-Ms", "120"}}});
        CHECK(record.result == CallerResult::OutcomeUnknown);
    }
}
