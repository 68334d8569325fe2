#include <doctest/doctest.h>

#include <steering/outagegate.h>

#include <array>
#include <cstdint>

using namespace Wasabistair::Steering;

namespace {

constexpr std::int64_t outageMs = 9'000;
constexpr int followers = 4;

/// One VM whose followers call as often as they may; calls fail at once during the outage.
struct OutageFixture {
    /// Calls made until the store is back and all know it; stops at the first success.
    void run()
    {
        std::array<std::int64_t, followers> nextAt{};
        for (now = 1; returnedAfterMs < 0; now += 10) {
            for (std::int64_t &next : nextAt) {
                if (now < next || !gate.mayCall(now)) {
                    continue;
                }
                ++calls;
                next = now + 40;
                if (now > outageMs) {
                    gate.succeeded();
                    returnedAfterMs = now - outageMs;
                } else {
                    gate.failed(now, 0.5);
                }
            }
        }
    }

    OutageGate gate;
    std::int64_t now = 0;
    std::int64_t returnedAfterMs = -1;
    int calls = 0;
};

} // namespace

TEST_CASE_FIXTURE(OutageFixture, "outage_storeTurnsAVmAwayFor9s_costsFewCallsAndItsReturnIsNoticedWithin1200ms")
{
    // Load pattern: the store turns 68 of 195 VMs away. Four followers a VM that each tried every 300 ms made 105 calls a VM.
    run();
    CHECK(calls <= 105 / 4);
    CHECK(returnedAfterMs <= 1'200);
    CHECK(gate.mayCall(now));
    CHECK(gate.mayCall(now));
}

TEST_CASE_FIXTURE(OutageFixture, "outage_oneConnectionBreaks_othersCallAsBefore")
{
    gate.failed(1, 0.5);
    CHECK(gate.mayCall(2));
    gate.succeeded();
    gate.failed(3, 0.5);
    gate.failed(4, 0.5);
    gate.failed(5, 0.5);
    CHECK(gate.mayCall(6));
    gate.failed(6, 0.5);
    CHECK_FALSE(gate.mayCall(7));
}

TEST_CASE_FIXTURE(OutageFixture, "outage_tryHangs_anotherTriesInItsPlace")
{
    for (int i = 0; i < OutageGate::failuresOfOutage; ++i) {
        gate.failed(1, 0.5);
    }
    const std::int64_t later = 1 + OutageGate::firstBackoffMs;
    CHECK(gate.mayCall(later));
    CHECK_FALSE(gate.mayCall(later + OutageGate::longestTryMs - 1));
    CHECK(gate.mayCall(later + OutageGate::longestTryMs));
    CHECK_FALSE(gate.mayCall(later + OutageGate::longestTryMs + 1));
    gate.abandoned();
    CHECK(gate.mayCall(later + OutageGate::longestTryMs + 2));
}
