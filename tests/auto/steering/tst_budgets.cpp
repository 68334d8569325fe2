#include <doctest/doctest.h>

#include <steering/coldstartshare.h>
#include <steering/fleetretrybudget.h>
#include <steering/ratelimiter.h>
#include <steering/regionpreference.h>

#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace Wasabistair::Steering;

namespace {

constexpr std::int64_t second = 1'000;

/// Largest number of @p times in any span of @p spanMs.
int largestInSpan(const std::vector<std::int64_t> &times, std::int64_t spanMs)
{
    int largest = 0;
    for (std::size_t i = 0; i < times.size(); ++i) {
        int count = 0;
        for (std::size_t j = i; j < times.size() && times[j] < times[i] + spanMs; ++j) {
            ++count;
        }
        largest = std::max(largest, count);
    }
    return largest;
}

} // namespace

TEST_CASE("rateLimiter_anyTimes_admitsAtMostOnePerInterval")
{
    RateLimiter gate;
    CHECK(gate.tryAcquire(100, 50));
    CHECK_FALSE(gate.tryAcquire(149, 50));
    CHECK(gate.tryAcquire(150, 50));
}

TEST_CASE("coldStartShare_allVmsUseTheirShare_sumStaysWithinTheLimitInEverySecond")
{
    CHECK(rc::check([] {
        const ColdStartLimit bound{static_cast<double>(*rc::gen::inRange(4, 40)), 1.5, static_cast<double>(*rc::gen::inRange(3, 10))};
        const int vms = *rc::gen::inRange(1, 200);
        std::vector<RateLimiter> gates(static_cast<std::size_t>(vms));
        std::vector<std::int64_t> sent;
        for (std::int64_t now = 0; now < 4 * second; ++now) {
            for (int rank = 0; rank < vms; ++rank) {
                const ColdStartShare share = coldStartShare(bound, vms, rank);
                if (share.eligible && gates[static_cast<std::size_t>(rank)].tryAcquire(now, share.intervalMs)) {
                    sent.push_back(now);
                }
            }
        }
        RC_ASSERT(largestInSpan(sent, second) <= bound.requestsPerSecond * bound.factor + bound.slack);
        RC_ASSERT(!sent.empty());
    }));
}

TEST_CASE("fleetRetryBudget_allVmsSpendTheirBudget_sumStaysWithinTheLimitInEveryWindow")
{
    CHECK(rc::check([] {
        const FleetRetryLimit bound{0.2, static_cast<double>(*rc::gen::inRange(0, 80)), 10 * second};
        const int vms = *rc::gen::inRange(1, 20);
        std::vector<std::unique_ptr<FleetRetryBudget>> windows;
        for (int i = 0; i < vms; ++i) {
            windows.push_back(std::make_unique<FleetRetryBudget>());
        }
        std::vector<std::int64_t> requests;
        std::vector<std::int64_t> retries;
        std::int64_t now = 0;
        const int steps = *rc::gen::inRange(1, 600);
        for (int i = 0; i < steps; ++i) {
            now += *rc::gen::inRange(0, 200);
            FleetRetryBudget &window = *windows[static_cast<std::size_t>(*rc::gen::inRange(0, vms))];
            window.countRequest(now, bound);
            requests.push_back(now);
            while (window.trySpend(now, bound, vms)) {
                retries.push_back(now);
            }
        }
        for (const std::int64_t from : retries) {
            const auto inWindow = [&](std::int64_t time) { return time >= from && time < from + bound.windowMs; };
            const auto received = static_cast<double>(std::count_if(requests.begin(), requests.end(), inWindow));
            const auto retried = static_cast<double>(std::count_if(retries.begin(), retries.end(), inWindow));
            // The limit uses the requests of this window, of the one before or of the one halfway between, whichever has the most.
            const auto before
                = static_cast<double>(std::count_if(requests.begin(), requests.end(), [&](std::int64_t m) { return inWindow(m + bound.windowMs); }));
            const auto between
                = static_cast<double>(std::count_if(requests.begin(), requests.end(), [&](std::int64_t m) { return inWindow(m + bound.windowMs / 2); }));
            RC_ASSERT(retried <= bound.ratio * std::max({received, before, between}) + bound.slack);
        }
    }));
}

TEST_CASE("fleetRetryBudget_noRequestsAndNoSlack_allowsNoRetry")
{
    FleetRetryBudget window;
    CHECK_FALSE(window.trySpend(5, {0.2, 0, 10 * second}, 1));
}

TEST_CASE("regionShiftLimiter_regionIsOverloaded_shareShiftsWithinTheLimit")
{
    constexpr std::int64_t window = 2 * second;
    RegionShiftLimiter regionShiftLimiter(0.15, window);
    std::vector<std::pair<std::int64_t, std::size_t>> requests;
    for (std::int64_t now = 0; now < 20 * second; now += 10) {
        // After 5 s every request is sent to region 1 if the limit allows it.
        const std::size_t region = now > 5 * second && regionShiftLimiter.allowsShiftTo(1, now) ? 1 : 0;
        regionShiftLimiter.count(region, now);
        requests.emplace_back(now, region);
    }
    for (std::int64_t from = 0; from + 2 * window <= 20 * second; from += 100) {
        const auto share = [&](std::int64_t begin) {
            double inRegion = 0;
            double total = 0;
            for (const auto &[time, region] : requests) {
                if (time >= begin && time < begin + window) {
                    inRegion += region == 1 ? 1 : 0;
                    total += 1;
                }
            }
            return inRegion / total;
        };
        CHECK(share(from + window) - share(from) <= 0.15);
    }
    CHECK(requests.back().second == 1);
}

TEST_CASE("localShare_overloadedRegion_shrinksSlowlyAndRecovers")
{
    const RegionCapacity overloaded{12, 84, 1.2, 0.4};
    const RegionCapacity underloaded{12, 84, 0.3, 0.4};
    double share = initialLocalShare(overloaded, 3);
    CHECK(share == doctest::Approx(0.3375));
    const double before = share;
    for (int i = 0; i < 4; ++i) {
        share = nextLocalShare(share, overloaded, 500);
    }
    CHECK(before - share > 0);
    CHECK(before - share <= 0.15 / 2);
    for (int i = 0; i < 400; ++i) {
        share = nextLocalShare(share, underloaded, 500);
    }
    CHECK(share == 1.0);
}

TEST_CASE("localPreference_anyShare_yieldsThatShareOfTheWeight")
{
    const RegionCapacity room{12, 84, 0, 0};
    for (const double share : {0.1, 0.3, 0.5, 0.9}) {
        const double preference = localPreference(share, room);
        CHECK(preference * 12 / (preference * 12 + 84) == doctest::Approx(share));
    }
}

TEST_CASE("regionShiftLimiter_limitChanges_appliesFromThenOn")
{
    constexpr std::int64_t window = 2 * second;
    RegionShiftLimiter regionShiftLimiter(1, window);
    for (std::int64_t now = 0; now < window; now += 10) {
        regionShiftLimiter.count(0, now);
    }
    for (std::int64_t now = window; now < 2 * window; now += 10) {
        regionShiftLimiter.count(now % 40 == 0 ? 1 : 0, now);
    }
    CHECK(regionShiftLimiter.allowsShiftTo(1, 2 * window - 1));
    regionShiftLimiter.setMaxShift(0.15);
    CHECK_FALSE(regionShiftLimiter.allowsShiftTo(1, 2 * window - 1));
}
