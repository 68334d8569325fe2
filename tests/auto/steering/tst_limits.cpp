#include <doctest/doctest.h>

#include <steering/linkpacer.h>
#include <steering/retrybudget.h>
#include <steering/serverload.h>

#include <rapidcheck.h>

#include <thread>

using namespace Wasabistair::Steering;

TEST_CASE("retryBudget_randomOrder_neverExceedsItsShareOfFirstAttempts")
{
    CHECK(rc::check([] {
        RetryBudget budget;
        const std::int64_t share = *rc::gen::inRange<std::int64_t>(0, 101);
        std::int64_t firstAttempts = 0;
        std::int64_t retries = 0;
        for (const bool retry : *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>())) {
            if (retry) {
                retries += budget.trySpend() ? 1 : 0;
            } else {
                ++firstAttempts;
                budget.countFirstAttempt(share);
            }
            RC_ASSERT(retries * 100 <= firstAttempts * share);
        }
    }));
}

TEST_CASE("linkPacer_randomReservations_neverExceedsRate")
{
    CHECK(rc::check([] {
        const std::int64_t rate = *rc::gen::inRange<std::int64_t>(1'000, 100'000'000);
        LinkPacer link(rate);
        MonotonicMs now = 1'000;
        const MonotonicMs start = now;
        std::int64_t sentBefore = 0;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100))) {
            now += step;
            const std::int64_t bytes = *rc::gen::inRange<std::int64_t>(1, 100'000);
            const MonotonicMs sendAt = now + link.reserve(bytes, now);
            // All earlier chunks fit into the time before this one at the given rate.
            RC_ASSERT((sendAt - start + 1) * rate / 1'000 >= sentBefore - rate / 1'000);
            sentBefore += bytes;
        }
    }));
}

TEST_CASE("serverLoad_manyThreads_neverExceedLimit")
{
    ServerLoad load;
    std::atomic<std::int64_t> highest{0};
    std::atomic<std::int64_t> current{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < 8; ++i) {
        threads.emplace_back([&] {
            for (int j = 0; j < 20'000; ++j) {
                if (load.tryAcquire(3)) {
                    const std::int64_t now = ++current;
                    if (now > highest) {
                        highest = now;
                    }
                    --current;
                    load.release();
                }
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(highest <= 3);
    CHECK(load.inFlight() == 0);
}

TEST_CASE("serverLoad_rejections_reduceTheScaleAndItRecoversOverTime")
{
    ServerLoad load;
    load.observeShed(1'000, 100);
    CHECK(load.isBlocked(1'050));
    CHECK_FALSE(load.isBlocked(1'100));
    CHECK(load.scalePermille(1'000) == 700);
    for (int i = 0; i < 20; ++i) {
        load.observeShed(1'000, 100);
    }
    CHECK(load.scalePermille(1'000) == ServerLoad::minScale);
    CHECK(load.scalePermille(60'000) == ServerLoad::fullScale);
}

TEST_CASE("coldStartUnits_overAge_risesFromAQuarterToAll")
{
    CHECK(coldStartUnits(8, 0, 30'000) == 2);
    CHECK(coldStartUnits(8, 15'000, 30'000) == 4);
    CHECK(coldStartUnits(8, 30'000, 30'000) == 8);
    CHECK(coldStartUnits(8, -5'000, 30'000) == 2);
    CHECK(coldStartUnits(0, 1, 30'000) == 0);
}
