#include <doctest/doctest.h>

#include <steering/messagedelay.h>

#include <algorithm>

using namespace Wasabistair::Steering;

namespace {

/// A sender whose clock is ahead of the receiver's, and messages that take some ms.
struct MessageDelayFixture {
    static constexpr std::int64_t aheadMs = 7'000'000;
    static constexpr std::int64_t transitMs = 3;
    static constexpr std::int64_t intervalMs = 1'000;

    /// Delay of a message sent at @p sentAt of the receiver's clock and read @p lateMs after it arrived, by a receiver that was reading
    /// until @p listeningUntil.
    std::int64_t readLate(std::int64_t sentAt, std::int64_t lateMs, std::int64_t listeningUntil)
    {
        return delay.record({sentAt + aheadMs, listeningUntil, sentAt + transitMs + lateMs});
    }

    std::int64_t readAtOnce(std::int64_t sentAt)
    {
        return readLate(sentAt, 0, sentAt);
    }

    std::int64_t readSeveralAtOnce(std::int64_t from, int count)
    {
        std::int64_t largest = 0;
        for (int i = 0; i < count; ++i) {
            largest = std::max(largest, readAtOnce(from + i * intervalMs));
        }
        return largest;
    }

    MessageDelay delay;
};

} // namespace

TEST_CASE_FIXTURE(MessageDelayFixture, "messages_readAtOnce_haveNoDelay")
{
    CHECK(readSeveralAtOnce(0, 100) == 0);
}

// Guards against a heartbeat that waited in the socket of a VM that stood still and counted as new.
TEST_CASE_FIXTURE(MessageDelayFixture, "messages_readAfterAStandstill_areAsOldAsTheyAre")
{
    readSeveralAtOnce(0, 10);
    CHECK(readLate(10'000, 5'000, 10'000) == 5'000);
    CHECK(readLate(11'000, 4'000, 10'000) == 4'000);
    CHECK(readAtOnce(15'000) == 0);
}

// Guards against ages that were measured before the sender stood still and sent after it.
TEST_CASE_FIXTURE(MessageDelayFixture, "message_heldBySenderThatStoodStill_isAsOldAsItIs")
{
    readSeveralAtOnce(0, 10);
    CHECK(readLate(10'000, 4'000, 14'000) == 4'000);
}

TEST_CASE_FIXTURE(MessageDelayFixture, "firstMessage_readAfterAStandstill_isAsOldAsTheStandstillAllows")
{
    CHECK(readLate(1'000, 4'500, 500) == 5'003);
    CHECK(readLate(2'000, 3'500, 500) == 5'003);
    CHECK(readAtOnce(6'000) == 0);
    CHECK(readLate(7'000, 5'000, 7'000) == 5'000);
}

TEST_CASE_FIXTURE(MessageDelayFixture, "message_muchLaterThanOthers_doesNotRaiseTheShortestDelay")
{
    readSeveralAtOnce(0, 10);
    for (int i = 0; i < 50; ++i) {
        CHECK(readLate(10'000 + i, 30'000 - i, 10'000) == 30'000 - i);
    }
}

TEST_CASE("delay_senderClockLosesTime_isLearnedAnewWithinTwoWindows")
{
    MessageDelay delay;
    constexpr std::int64_t lostMs = 60'000;
    constexpr std::int64_t learnedWithinMs = 7'000;
    for (std::int64_t now = 0; now < 20'000; now += 1'000) {
        CHECK(delay.record({100'000 + now, now, now}) == 0);
    }
    CHECK(delay.record({100'000 - lostMs + 20'000, 20'000, 20'000}) == lostMs);
    std::int64_t lastDelayedAt = 20'000;
    for (std::int64_t now = 21'000; now < 60'000; now += 1'000) {
        lastDelayedAt = delay.record({100'000 - lostMs + now, now, now}) > 0 ? now : lastDelayedAt;
    }
    CHECK(lastDelayedAt < 20'000 + learnedWithinMs);
}
