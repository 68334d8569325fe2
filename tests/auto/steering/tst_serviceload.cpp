#include <doctest/doctest.h>

#include <steering/serviceload.h>
#include <steering/upstreamrecord.h>

using namespace Wasabistair::Steering;

namespace {

/// Large, so that any load per slot is a whole number of requests.
constexpr int reportedSlots = 1'000;

struct ServiceLoadFixture {
    /// Adds @p times reports of @p loadPerSlot, one every 50 ms.
    void report(double loadPerSlot, int times)
    {
        for (int i = 0; i < times; ++i) {
            nowMs += 50;
            load.record({static_cast<int>(loadPerSlot * reportedSlots), 0, reportedSlots}, nowMs);
        }
    }

    ServiceLoad load;
    std::int64_t nowMs = 100'000;
};

} // namespace

TEST_CASE_FIXTURE(ServiceLoadFixture, "serviceLoad_loadRisesAndFalls_meanFollowsWithinSeconds")
{
    report(0.5, 100);
    CHECK(load.at(nowMs) == doctest::Approx(0.5).epsilon(0.05));
    report(3, 60);
    CHECK(load.at(nowMs) > 2.5);
    report(0.5, 60);
    CHECK(load.at(nowMs) < 0.8);
}

TEST_CASE_FIXTURE(ServiceLoadFixture, "serviceLoad_noReports_decaysSoThatAnOverloadedServiceGetsRequestsAgain")
{
    // All upstreams were overloaded and all requests were rejected, so no answer reports that capacity is free again.
    report(5, 200);
    CHECK(load.at(nowMs + 900) > 4);
    CHECK(load.at(nowMs + 2'000) == doctest::Approx(0));
}

TEST_CASE_FIXTURE(ServiceLoadFixture, "record_noRecentReportInAnOverload_loadIsEstimatedFromTheService")
{
    // One of 70 VMs sends an upstream a request only every few seconds. With its load taken as 0, the upstream would never count as
    // overloaded, and in an overload requests would wait at the upstreams until they time out.
    constexpr int slots = 5;
    report(3, 100);
    UpstreamRecord record;
    record.beginAttempt();
    record.endAttempt(AttemptOutcome::Answered, ReportedLoad{1, 0, slots}, 0, nowMs - 60'000);
    CHECK(record.loadAt(nowMs, load.at(nowMs) * slots) == doctest::Approx(3 * slots).epsilon(0.05));
}

TEST_CASE_FIXTURE(ServiceLoadFixture, "record_recentReport_isUsedForTheLoad")
{
    report(3, 100);
    UpstreamRecord record;
    record.beginAttempt();
    record.endAttempt(AttemptOutcome::Answered, ReportedLoad{1, 0, 5}, 0, nowMs);
    CHECK(record.loadAt(nowMs, load.at(nowMs) * 5) == doctest::Approx(1));
}
