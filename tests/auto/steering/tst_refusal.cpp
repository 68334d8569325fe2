#include <doctest/doctest.h>

#include <steering/refusal.h>

using namespace Wasabistair::Steering;

TEST_CASE("roomWait_anyObjective_isAnEighthOfItAndNeverLong")
{
    CHECK(longestRoomWaitMs(200) == 25);
    CHECK(longestRoomWaitMs(400) == 50);
    CHECK(longestRoomWaitMs(5'000) == 60);
    CHECK(longestRoomWaitMs(0) == 60);
}

TEST_CASE("returnAfter_anyPoint_spreadsCallersOverTheReasonsRange")
{
    CHECK(returnAfterMs(RefusalReason::NoRoom, 0) == 120);
    CHECK(returnAfterMs(RefusalReason::NoRoom, 1) == 400);
    CHECK(returnAfterMs(RefusalReason::NoUpstream, 0) == 300);
    CHECK(returnAfterMs(RefusalReason::NoUpstream, 1) == 700);
}
