#include <doctest/doctest.h>

#include <steering/shiftaccount.h>

#include <rapidcheck.h>

#include <numeric>
#include <thread>

using namespace Wasabistair::Steering;

namespace {

constexpr std::int64_t permille = 1000;

/// Counts by window in plain integers; obviously keeps moved <= cap * total.
struct NaiveAccount {
    MonotonicMs window = -1;
    std::int64_t total = 0;
    std::int64_t moved = 0;

    void roll(MonotonicMs now)
    {
        if (now / ShareAccount::windowMs != window) {
            window = now / ShareAccount::windowMs;
            total = 0;
            moved = 0;
        }
    }
    bool tryMove(std::int64_t cap, MonotonicMs now)
    {
        roll(now);
        if ((moved + 1) * permille > cap * (total + 1)) {
            return false;
        }
        ++total;
        ++moved;
        return true;
    }
    void stay(MonotonicMs now)
    {
        roll(now);
        ++total;
    }
    void undo(MonotonicMs now)
    {
        roll(now);
        if (moved > 0) {
            --moved;
            --total;
        }
    }
};

} // namespace

TEST_CASE("shareAccount_randomOperations_agreesWithNaiveAndKeepsCap")
{
    CHECK(rc::check([] {
        ShareAccount account;
        NaiveAccount naive;
        MonotonicMs now = 123'456;
        const std::int64_t cap = *rc::gen::inRange<std::int64_t>(0, 1001);
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10));
        for (const int step : steps) {
            now += *rc::gen::inRange(0, 900);
            if (step < 6) {
                const bool moved = account.tryMove(cap, now);
                RC_ASSERT(moved == naive.tryMove(cap, now));
                if (!moved) {
                    account.countStay(now);
                    naive.stay(now);
                }
            } else if (step < 9) {
                account.countStay(now);
                naive.stay(now);
            } else {
                account.undoMove(now);
                naive.undo(now);
            }
            const ShareWindow window = account.current(now);
            RC_ASSERT(std::int64_t{window.moved} == naive.moved);
            RC_ASSERT(std::int64_t{window.total} == naive.total);
            RC_ASSERT(std::int64_t{window.moved} * permille <= cap * std::int64_t{window.total});
        }
    }));
}

TEST_CASE("shareAccount_sevenRequestsAtTenPercent_moveNone")
{
    ShareAccount account;
    for (int i = 0; i < 7; ++i) {
        CHECK_FALSE(account.tryMove(100, 5'000));
        account.countStay(5'000);
    }
}

TEST_CASE("shareAccount_severalThreadsAndVms_sumStaysBelowCap")
{
    constexpr int vms = 4;
    constexpr int perThread = 20'000;
    constexpr std::int64_t cap = 130;
    std::vector<ShareAccount> accounts(vms);
    std::vector<std::thread> threads;
    for (int i = 0; i < 8; ++i) {
        threads.emplace_back([&, i] {
            for (int j = 0; j < perThread; ++j) {
                if (!accounts[i % vms].tryMove(cap, 1'000)) {
                    accounts[i % vms].countStay(1'000);
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    std::int64_t total = 0;
    std::int64_t moved = 0;
    for (const ShareAccount &account : accounts) {
        total += account.current(1'000).total;
        moved += account.current(1'000).moved;
    }
    CHECK(total == 8 * perThread);
    CHECK(moved * permille <= cap * total);
    CHECK(moved > 0);
}

TEST_CASE("rateAccount_randomTimes_neverExceedsLimitInAnySecond")
{
    CHECK(rc::check([] {
        RateAccount account;
        const std::int64_t limit = *rc::gen::inRange<std::int64_t>(0, 20);
        std::vector<MonotonicMs> moves;
        MonotonicMs now = 50'000;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120))) {
            now += step;
            if (account.tryMove(limit, now)) {
                moves.push_back(now);
            }
        }
        for (std::size_t i = 0; i < moves.size(); ++i) {
            std::int64_t within = 0;
            for (const MonotonicMs other : moves) {
                within += other >= moves[i] && other < moves[i] + RateAccount::windowMs ? 1 : 0;
            }
            RC_ASSERT(within <= limit);
        }
    }));
}

TEST_CASE("rateAccount_moveTakenBack_leavesLaterOnesCounted")
{
    RateAccount account;
    CHECK(account.tryMove(2, 0));
    CHECK(account.tryMove(2, 100));
    account.undoMove(0);
    CHECK(account.tryMove(2, 900));
    // 100 and 900 are within one second.
    CHECK_FALSE(account.tryMove(2, 1'050));
    CHECK(account.tryMove(2, 1'100));
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
