#include <doctest/doctest.h>

#include <steering/refusal.h>

using namespace Wasabistair::Steering;

TEST_CASE("maxCapacityWait_anyObjective_isAnEighthOfItUpTo60Ms")
{
    CHECK(longestRoomWaitMs(200) == 25);
    CHECK(longestRoomWaitMs(400) == 50);
    CHECK(longestRoomWaitMs(5'000) == 60);
    CHECK(longestRoomWaitMs(0) == 60);
}

TEST_CASE("retryAfter_anyJitter_spreadsCallersOverTheRangeOfTheReason")
{
    CHECK(returnAfterMs(RefusalReason::NoRoom, 0) == 120);
    CHECK(returnAfterMs(RefusalReason::NoRoom, 1) == 400);
    CHECK(returnAfterMs(RefusalReason::NoUpstream, 0) == 300);
    CHECK(returnAfterMs(RefusalReason::NoUpstream, 1) == 700);
}
