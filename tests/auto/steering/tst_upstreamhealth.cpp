#include <doctest/doctest.h>

#include <steering/upstreamhealth.h>
#include <steering/upstreamrecord.h>

using namespace Wasabistair::Steering;

namespace {

struct HealthFixture {
    void report(AttemptOutcome outcome, int times = 1)
    {
        for (int i = 0; i < times; ++i) {
            health = afterAttempt(health, outcome, nowMs);
        }
    }

    [[nodiscard]] HealthState state() const
    {
        return healthStateAt(health, serviceTimeoutRate, nowMs);
    }

    UpstreamHealth health;
    std::int64_t nowMs = 10'000;
    /// Timeout rate over all upstreams of the service.
    double serviceTimeoutRate = 0;
};

} // namespace

TEST_CASE_FIXTURE(HealthFixture, "health_deadlinesPassUnderACrowd_upstreamStaysSound")
{
    // In an overload, requests time out at all upstreams. Ejecting an upstream for that would move its keys to others, where requests
    // take longer, and make the overload worse.
    report(AttemptOutcome::Answered, 5);
    report(AttemptOutcome::Timeout, 20);
    serviceTimeoutRate = 0.6;
    CHECK((state() == HealthState::Healthy));
}

TEST_CASE_FIXTURE(HealthFixture, "health_timeoutsAtOneUpstreamOnly_isOnProbationUntilItAnswers")
{
    // One upstream hangs or becomes slow while the others answer. Without probation, requests for its keys would time out all the while.
    report(AttemptOutcome::Answered, 5);
    report(AttemptOutcome::Timeout, 3);
    serviceTimeoutRate = 0.1;
    CHECK((state() == HealthState::Probation));
    report(AttemptOutcome::Answered, 2);
    CHECK((state() == HealthState::Healthy));
}

TEST_CASE_FIXTURE(HealthFixture, "health_connectionRefused_isEjectedThenOnProbation")
{
    report(AttemptOutcome::NoConnection);
    CHECK((state() == HealthState::Ejected));
    nowMs = health.ejectedUntilMs;
    CHECK((state() == HealthState::Probation));
    report(AttemptOutcome::Answered, 5);
    nowMs = health.probationUntilMs;
    CHECK((state() == HealthState::Healthy));
}

TEST_CASE_FIXTURE(HealthFixture, "health_connectionsKeepBeingRefused_backoffGrowsToItsMaximum")
{
    std::int64_t lastEjectionMs = 0;
    for (int i = 0; i < 20; ++i) {
        report(AttemptOutcome::NoConnection);
        lastEjectionMs = health.ejectedUntilMs - nowMs;
        nowMs = health.ejectedUntilMs;
    }
    CHECK(lastEjectionMs == 3'000);
}

TEST_CASE_FIXTURE(HealthFixture, "health_oneBrokenConnection_isOnProbation")
{
    report(AttemptOutcome::Answered, 5);
    report(AttemptOutcome::Broken);
    CHECK((state() == HealthState::Probation));
    report(AttemptOutcome::Answered);
    CHECK((state() == HealthState::Healthy));
}

TEST_CASE_FIXTURE(HealthFixture, "health_failsPartOfItsRequests_isOnProbationUntilItRecovers")
{
    for (int i = 0; i < 20; ++i) {
        report(i % 2 == 0 ? AttemptOutcome::Failed : AttemptOutcome::Answered);
    }
    CHECK((state() == HealthState::Probation));
    report(AttemptOutcome::Answered, 10);
    CHECK((state() == HealthState::Healthy));
}

TEST_CASE_FIXTURE(HealthFixture, "health_rejectsWhenOverloaded_staysHealthy")
{
    report(AttemptOutcome::RejectedOverloaded, 50);
    report(AttemptOutcome::StaleConnection, 3);
    CHECK((state() == HealthState::Healthy));
}

TEST_CASE("record_reportAges_loadDecaysToOwnRequests")
{
    UpstreamRecord record;
    record.beginAttempt();
    record.beginAttempt();
    record.endAttempt(AttemptOutcome::Answered, ReportedLoad{6, 3, 6}, 0, 1'000);
    CHECK(record.inFlight() == 1);
    CHECK(record.loadAt(1'000, 0) == doctest::Approx(1 + 8));
    CHECK(record.loadAt(1'750, 0) == doctest::Approx(1 + 4));
    CHECK(record.loadAt(60'000, 0) == doctest::Approx(1));
}

TEST_CASE("record_earlierColdUntil_isIgnored")
{
    UpstreamRecord record;
    record.setColdUntil(5'000);
    record.setColdUntil(1'000);
    CHECK(record.isColdAt(4'999));
    CHECK_FALSE(record.isColdAt(5'000));
}

TEST_CASE_FIXTURE(HealthFixture, "health_anotherProcessAnswersAtTheAddress_isEjectedForLonger")
{
    // Addresses are reused while some VMs can't reach the store and still have the old registration. Each request sent to such an address
    // costs the request one of its attempts.
    report(AttemptOutcome::Answered, 5);
    report(AttemptOutcome::WrongInstance);
    CHECK((state() == HealthState::Ejected));
    nowMs += 3'900;
    CHECK((state() == HealthState::Ejected));
    nowMs = health.ejectedUntilMs;
    CHECK((state() == HealthState::Probation));
    report(AttemptOutcome::WrongInstance);
    nowMs += 7'900;
    CHECK((state() == HealthState::Ejected));
}
