#include <doctest/doctest.h>

#include <steering/stopplan.h>

#include <array>

using namespace Wasabistair::Steering;

namespace {

constexpr std::int64_t begin = 1'000'000;
constexpr std::int64_t lookupAgeMs = 1'500;
constexpr std::array<std::int64_t, 6> gracePeriodsMs{1'000, 2'000, 6'000, 8'200, 10'000, 30'000};

struct StopPlanFixture {
    StopPlan plan = planStop(begin, 10'000, lookupAgeMs);
};

} // namespace

TEST_CASE_FIXTURE(StopPlanFixture, "stopPlan_anyGracePeriod_stepsFollowEachOtherAndEndBeforeIt")
{
    for (const std::int64_t graceMs : gracePeriodsMs) {
        CAPTURE(graceMs);
        const StopPlan any = planStop(begin, graceMs, lookupAgeMs);
        CHECK(any.lookupsExpireAtMs <= any.deadlineMs);
        CHECK(any.deadlineMs < any.exitAtMs);
        CHECK(any.exitAtMs < begin + graceMs);
    }
}

TEST_CASE_FIXTURE(StopPlanFixture, "stopPlan_requestMayEndAfterTheDeadline_isTooLateOnceLookUpsMayBeOld")
{
    const std::int64_t longEnd = plan.deadlineMs + 1;
    CHECK_FALSE(isTooLate(plan, longEnd, plan.takeAllUntilMs - 1));
    CHECK(isTooLate(plan, longEnd, plan.takeAllUntilMs));
    CHECK_FALSE(isTooLate(plan, plan.deadlineMs, plan.takeAllUntilMs));
    CHECK(isTooLate(plan, plan.rejectFromMs + 1, plan.rejectFromMs));
}

TEST_CASE_FIXTURE(StopPlanFixture, "stopPlan_vmIsIdleBeforeLookUpsExpire_intakeStaysOpen")
{
    CHECK_FALSE(mayEndIntake(plan, 0, plan.lookupsExpireAtMs - 1));
    CHECK(mayEndIntake(plan, 0, plan.lookupsExpireAtMs));
    CHECK_FALSE(mayEndIntake(plan, 1, plan.deadlineMs - 1));
    CHECK(mayEndIntake(plan, 1, plan.deadlineMs));
}

TEST_CASE_FIXTURE(StopPlanFixture, "stopPlan_answersAreBeingWritten_processExitsAfterThem")
{
    CHECK(mayExit(plan, 0, begin));
    CHECK_FALSE(mayExit(plan, 1, plan.exitAtMs - 1));
    CHECK(mayExit(plan, 1, plan.exitAtMs));
}
