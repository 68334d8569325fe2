#include <doctest/doctest.h>

#include <steering/serviceload.h>
#include <steering/upstreamrecord.h>

using namespace Wasabistair::Steering;

namespace {

/// Many, so that any load per slot is a whole number of requests.
constexpr int slotsOfReports = 1'000;

struct ServiceLoadFixture {
    /// Reports of @p loadPerSlot, one each 50 ms.
    void report(double loadPerSlot, int times)
    {
        for (int i = 0; i < times; ++i) {
            nowMs += 50;
            load.note({static_cast<int>(loadPerSlot * slotsOfReports), 0, slotsOfReports}, nowMs);
        }
    }

    ServiceLoad load;
    std::int64_t nowMs = 100'000;
};

} // namespace

TEST_CASE_FIXTURE(ServiceLoadFixture, "serviceLoad_crowdComesAndGoes_isFollowedWithinSomeSeconds")
{
    report(0.5, 100);
    CHECK(load.at(nowMs) == doctest::Approx(0.5).epsilon(0.05));
    report(3, 60);
    CHECK(load.at(nowMs) > 2.5);
    report(0.5, 60);
    CHECK(load.at(nowMs) < 0.8);
}

TEST_CASE_FIXTURE(ServiceLoadFixture, "serviceLoad_nothingReported_fadesSoThatAFullServiceIsTriedAgain")
{
    // Pattern: every upstream was full and all requests were refused, so no answer reports that there is room again.
    report(5, 200);
    CHECK(load.at(nowMs + 900) > 4);
    CHECK(load.at(nowMs + 2'000) == doctest::Approx(0));
}

TEST_CASE_FIXTURE(ServiceLoadFixture, "record_crowdInALargeFleet_upstreamNotHeardOfLatelyCountsAsCrowdedToo")
{
    // Pattern: a VM of 70 sends an upstream one request in several seconds. With no load for it, it never looks full, and
    // a crowd waits at the upstreams until its deadlines pass.
    constexpr int slots = 5;
    report(3, 100);
    UpstreamRecord record;
    record.beginTry();
    record.endTry(TryOutcome::Answered, ReportedLoad{1, 0, slots}, 0, nowMs - 60'000);
    CHECK(record.loadAt(nowMs, load.at(nowMs) * slots) == doctest::Approx(3 * slots).epsilon(0.05));
}

TEST_CASE_FIXTURE(ServiceLoadFixture, "record_heardOfJustNow_countsWithItsOwnReport")
{
    report(3, 100);
    UpstreamRecord record;
    record.beginTry();
    record.endTry(TryOutcome::Answered, ReportedLoad{1, 0, 5}, 0, nowMs);
    CHECK(record.loadAt(nowMs, load.at(nowMs) * 5) == doctest::Approx(1));
}
