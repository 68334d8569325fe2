#include <doctest/doctest.h>

#include <steering/upstreamhealth.h>
#include <steering/upstreamrecord.h>

using namespace Wasabistair::Steering;

namespace {

struct HealthFixture {
    void report(TryOutcome outcome, int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            health = afterTry(health, outcome, nowMs);
        }
    }

    [[nodiscard]] Standing standing() const
    {
        return standingAt(health, serviceSilentShare, nowMs);
    }

    UpstreamHealth health;
    std::int64_t nowMs = 10'000;
    /// Of all upstreams of the service.
    double serviceSilentShare = 0;
};

} // namespace

TEST_CASE_FIXTURE(HealthFixture, "health_deadlinesPassUnderACrowd_upstreamStaysSound")
{
    // Pattern: in a crowd requests wait until their deadline. Suspending the upstream for that moves its keys to others,
    // where they run longer, and the crowd grows.
    report(TryOutcome::Answered, 5);
    report(TryOutcome::Silent, 20);
    serviceSilentShare = 0.6;
    CHECK((standing() == Standing::Sound));
}

TEST_CASE_FIXTURE(HealthFixture, "health_deadlinesPassAtOneUpstreamOnly_isProbedUntilItAnswers")
{
    // Pattern: an upstream hangs or turns slow while the others answer. Its keys would meet their deadlines for as long.
    report(TryOutcome::Answered, 5);
    report(TryOutcome::Silent, 3);
    serviceSilentShare = 0.1;
    CHECK((standing() == Standing::Probation));
    report(TryOutcome::Answered, 2);
    CHECK((standing() == Standing::Sound));
}

TEST_CASE_FIXTURE(HealthFixture, "health_refusedConnection_suspendsAndThenProbes")
{
    report(TryOutcome::NoConnection);
    CHECK((standing() == Standing::Suspended));
    nowMs = health.suspendedUntilMs;
    CHECK((standing() == Standing::Probation));
    report(TryOutcome::Answered, 5);
    nowMs = health.probationUntilMs;
    CHECK((standing() == Standing::Sound));
}

TEST_CASE_FIXTURE(HealthFixture, "health_keepsRefusing_backsOffUpToALimit")
{
    std::int64_t longest = 0;
    for (int i = 0; i < 20; ++i) {
        report(TryOutcome::NoConnection);
        longest = health.suspendedUntilMs - nowMs;
        nowMs = health.suspendedUntilMs;
    }
    CHECK(longest == 3'000);
}

TEST_CASE_FIXTURE(HealthFixture, "health_oneBrokenConnection_probesOnly")
{
    report(TryOutcome::Answered, 5);
    report(TryOutcome::Broken);
    CHECK((standing() == Standing::Probation));
    report(TryOutcome::Answered);
    CHECK((standing() == Standing::Sound));
}

TEST_CASE_FIXTURE(HealthFixture, "health_failsPartOfItsRequests_isProbedUntilItRecovers")
{
    for (int i = 0; i < 20; ++i) {
        report(i % 2 == 0 ? TryOutcome::Failed : TryOutcome::Answered);
    }
    CHECK((standing() == Standing::Probation));
    report(TryOutcome::Answered, 10);
    CHECK((standing() == Standing::Sound));
}

TEST_CASE_FIXTURE(HealthFixture, "health_shedsWhenFull_staysSound")
{
    report(TryOutcome::RefusedFull, 50);
    report(TryOutcome::StaleConnection, 3);
    CHECK((standing() == Standing::Sound));
}

TEST_CASE("record_reportsAge_loadFadesToOwnRequests")
{
    UpstreamRecord record;
    record.beginTry();
    record.beginTry();
    record.endTry(TryOutcome::Answered, ReportedLoad{6, 3, 6}, 0, 1'000);
    CHECK(record.inFlight() == 1);
    CHECK(record.loadAt(1'000, 0) == doctest::Approx(1 + 8));
    CHECK(record.loadAt(1'750, 0) == doctest::Approx(1 + 4));
    CHECK(record.loadAt(60'000, 0) == doctest::Approx(1));
}

TEST_CASE("record_coldUntil_neverMovesBack")
{
    UpstreamRecord record;
    record.setColdUntil(5'000);
    record.setColdUntil(1'000);
    CHECK(record.isColdAt(4'999));
    CHECK_FALSE(record.isColdAt(5'000));
}

TEST_CASE_FIXTURE(HealthFixture, "health_anotherProcessAnswersAtTheAddress_isLeftAloneUntilTheRegistryTells")
{
    // Pattern: addresses are used again while some VMs are cut off from the store. Each probe of such an address costs a
    // request one of its tries.
    report(TryOutcome::Answered, 5);
    report(TryOutcome::WrongInstance);
    CHECK((standing() == Standing::Suspended));
    nowMs += 3'900;
    CHECK((standing() == Standing::Suspended));
    nowMs = health.suspendedUntilMs;
    CHECK((standing() == Standing::Probation));
    report(TryOutcome::WrongInstance);
    nowMs += 7'900;
    CHECK((standing() == Standing::Suspended));
}
