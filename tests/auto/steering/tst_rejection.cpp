#include <doctest/doctest.h>

#include <steering/rejection.h>

using namespace Wasabistair::Steering;

TEST_CASE("maxCapacityWait_anyObjective_isAnEighthOfItUpTo60Ms")
{
    CHECK(maxCapacityWaitMs(200) == 25);
    CHECK(maxCapacityWaitMs(400) == 50);
    CHECK(maxCapacityWaitMs(5'000) == 60);
    CHECK(maxCapacityWaitMs(0) == 60);
}

TEST_CASE("retryAfter_anyJitter_spreadsCallersOverTheRangeOfTheReason")
{
    CHECK(retryAfterMs(RejectionReason::Overloaded, 0) == 120);
    CHECK(retryAfterMs(RejectionReason::Overloaded, 1) == 400);
    CHECK(retryAfterMs(RejectionReason::NoUpstream, 0) == 300);
    CHECK(retryAfterMs(RejectionReason::NoUpstream, 1) == 700);
}
