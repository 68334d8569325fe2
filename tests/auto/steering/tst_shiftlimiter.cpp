#include <doctest/doctest.h>

#include <steering/shiftlimiter.h>

#include <rapidcheck.h>

#include <numeric>
#include <thread>

using namespace Wasabistair::Steering;

namespace {

constexpr std::int64_t permille = 1000;

/// Reference model of ShiftShareLimiter: plain integers, and each move is checked against moved <= cap * total.
struct ReferenceLimiter {
    MonotonicMs window = -1;
    std::int64_t total = 0;
    std::int64_t moved = 0;

    void rollTo(MonotonicMs now)
    {
        if (now / ShiftShareLimiter::windowMs != window) {
            window = now / ShiftShareLimiter::windowMs;
            total = 0;
            moved = 0;
        }
    }
    bool tryMove(std::int64_t cap, MonotonicMs now)
    {
        rollTo(now);
        if ((moved + 1) * permille > cap * (total + 1)) {
            return false;
        }
        ++total;
        ++moved;
        return true;
    }
    void countStay(MonotonicMs now)
    {
        rollTo(now);
        ++total;
    }
    void undoMove(MonotonicMs now)
    {
        rollTo(now);
        if (moved > 0) {
            --moved;
            --total;
        }
    }
};

} // namespace

TEST_CASE("shiftShareLimiter_randomOperations_matchesReferenceAndKeepsCap")
{
    CHECK(rc::check([] {
        ShiftShareLimiter limiter;
        ReferenceLimiter reference;
        MonotonicMs now = 123'456;
        const std::int64_t cap = *rc::gen::inRange<std::int64_t>(0, 1001);
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
        for (const int step : steps) {
            now += *rc::gen::inRange(0, 900);
            if (step < 6) {
                const bool moved = limiter.tryMove(cap, now);
                RC_ASSERT(moved == reference.tryMove(cap, now));
                if (!moved) {
                    limiter.countStay(now);
                    reference.countStay(now);
                }
            } else if (step < 9) {
                limiter.countStay(now);
                reference.countStay(now);
            } else {
                limiter.undoMove(now);
                reference.undoMove(now);
            }
            const ShareWindow window = limiter.current(now);
            RC_ASSERT(std::int64_t{window.moved} == reference.moved);
            RC_ASSERT(std::int64_t{window.total} == reference.total);
            RC_ASSERT(std::int64_t{window.moved} * permille <= cap * std::int64_t{window.total});
        }
    }));
}

TEST_CASE("shiftShareLimiter_sevenRequestsAtTenPercent_movesNone")
{
    ShiftShareLimiter limiter;
    for (int i = 0; i < 7; ++i) {
        CHECK_FALSE(limiter.tryMove(100, 5'000));
        limiter.countStay(5'000);
    }
}

TEST_CASE("shiftShareLimiter_severalThreadsAndVms_sumStaysWithinCap")
{
    constexpr int vms = 4;
    constexpr int perThread = 20'000;
    constexpr std::int64_t cap = 130;
    std::vector<ShiftShareLimiter> limiters(vms);
    std::vector<std::thread> threads;
    for (int i = 0; i < 8; ++i) {
        threads.emplace_back([&, i] {
            for (int j = 0; j < perThread; ++j) {
                if (!limiters[i % vms].tryMove(cap, 1'000)) {
                    limiters[i % vms].countStay(1'000);
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::int64_t total = 0;
    std::int64_t moved = 0;
    for (const ShiftShareLimiter &limiter : limiters) {
        total += limiter.current(1'000).total;
        moved += limiter.current(1'000).moved;
    }
    CHECK(total == 8 * perThread);
    CHECK(moved * permille <= cap * total);
    CHECK(moved > 0);
}

TEST_CASE("shiftRateLimiter_randomTimes_neverExceedsLimitInAnySecond")
{
    CHECK(rc::check([] {
        ShiftRateLimiter limiter;
        const std::int64_t limit = *rc::gen::inRange<std::int64_t>(0, 20);
        std::vector<MonotonicMs> moves;
        MonotonicMs now = 50'000;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120))) {
            now += step;
            if (limiter.tryMove(limit, now)) {
                moves.push_back(now);
            }
        }
        for (std::size_t i = 0; i < moves.size(); ++i) {
            std::int64_t within = 0;
            for (const MonotonicMs other : moves) {
                within += other >= moves[i] && other < moves[i] + ShiftRateLimiter::windowMs ? 1 : 0;
            }
            RC_ASSERT(within <= limit);
        }
    }));
}

TEST_CASE("shiftRateLimiter_moveUndone_keepsLaterMovesCounted")
{
    ShiftRateLimiter limiter;
    CHECK(limiter.tryMove(2, 0));
    CHECK(limiter.tryMove(2, 100));
    limiter.undoMove(0);
    CHECK(limiter.tryMove(2, 900));
    // The moves at 100 and 900 are within the last second.
    CHECK_FALSE(limiter.tryMove(2, 1'050));
    CHECK(limiter.tryMove(2, 1'100));
}

TEST_CASE("rampedCap_overTime_risesFromZeroAndEnds")
{
    Shift shift;
    shift.start = 1'000'000;
    shift.end = 2'000'000;
    shift.rampSeconds = 100;
    CHECK(rampedCap(shift, 200, 999'999) == 0);
    CHECK(rampedCap(shift, 200, 1'000'000) == 0);
    CHECK(rampedCap(shift, 200, 1'050'000) == 100);
    CHECK(rampedCap(shift, 200, 1'100'000) == 200);
    CHECK(rampedCap(shift, 200, 2'000'000) == 0);
}
