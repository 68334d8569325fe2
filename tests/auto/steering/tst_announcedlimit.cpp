#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <steering/announcedlimit.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

using namespace Wasabistair::Steering;

namespace {

constexpr std::int64_t windowMs = 4'000;

struct LimitFixture {
    static constexpr LimitStatement two{2.0, false};
    static constexpr LimitStatement nothing{};
    static constexpr LimitStatement unreadable{std::nullopt, true};

    AnnouncedLimit limit;
    LimitShare alone = limitShare(2, 1, 0);
};

struct FleetResult {
    std::size_t busiestWindow = 0;
    double perSecond = 0;
};

/// Plays @p vms VMs in virtual time that all want to send without end, with delays of up to @p maxDelayMs to the upstream. Each hears the limit
/// at a random time within @p heardWithinMs. Counts the requests of VMs that have heard it; the first window begins 500 ms after.
FleetResult playFleet(unsigned seed, double requestsPerSecond, int vms, std::int64_t heardWithinMs, std::int64_t maxDelayMs)
{
    constexpr std::int64_t durationMs = 60'000;
    constexpr std::int64_t graceMs = 500;
    std::mt19937 random(seed);
    std::vector<std::int64_t> arrivals;
    for (int vm = 0; vm < vms; ++vm) {
        AnnouncedLimit limit;
        const LimitShare share = limitShare(requestsPerSecond, vms, vm);
        const auto heardAt = static_cast<std::int64_t>(random() % static_cast<unsigned>(heardWithinMs));
        limit.record({requestsPerSecond, false}, true, heardAt, heardAt);
        for (std::int64_t now = heardAt; now < durationMs; now += 20) {
            if (limit.tryAcquire(share, now) && now >= heardAt + graceMs) {
                arrivals.push_back(now + static_cast<std::int64_t>(random() % static_cast<unsigned>(maxDelayMs)));
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    FleetResult result;
    for (auto begin = arrivals.begin(); begin != arrivals.end(); ++begin) {
        const auto end = std::lower_bound(begin, arrivals.end(), *begin + windowMs);
        result.busiestWindow = std::max(result.busiestWindow, static_cast<std::size_t>(end - begin));
    }
    result.perSecond = static_cast<double>(arrivals.size()) * 1000 / durationMs;
    return result;
}

double tolerated(double requestsPerSecond)
{
    return 1.5 * requestsPerSecond * windowMs / 1000 + 5;
}

} // namespace

TEST_CASE_FIXTURE(LimitFixture, "limit_isStated_isInForceUntilALaterAnswerStatesNone")
{
    CHECK_FALSE(limit.requestsPerSecond());
    CHECK(limit.record(two, true, 100, 200).after == 2.0);
    CHECK(limit.requestsPerSecond() == 2.0);
    // The answer to an attempt that started before the statement may have been sent before it.
    CHECK(limit.record(nothing, true, 150, 210).after == 2.0);
    CHECK(limit.record(unreadable, true, 250, 260).after == 2.0);
    CHECK(limit.record(nothing, false, 250, 260).after == 2.0);
    CHECK_FALSE(limit.record(nothing, true, 250, 260).after);
    CHECK_FALSE(limit.requestsPerSecond());
}

TEST_CASE_FIXTURE(LimitFixture, "limit_changes_nextRequestFollowsTheNewInterval")
{
    limit.record(two, true, 0, 0);
    CHECK(limit.tryAcquire(alone, 0));
    CHECK_FALSE(limit.tryAcquire(alone, alone.intervalMs - 1));
    const LimitShare lower = limitShare(0.5, 1, 0);
    CHECK_FALSE(limit.tryAcquire(lower, alone.intervalMs));
    CHECK(limit.timeUntilAdmission(lower, alone.intervalMs) == lower.intervalMs - alone.intervalMs);
    CHECK(limit.tryAcquire(lower, lower.intervalMs));
    CHECK(limit.tryAcquire(limitShare(100, 1, 0), lower.intervalMs + 10));
}

TEST_CASE_FIXTURE(LimitFixture, "limit_isZero_onlyProbesAreSent")
{
    const LimitShare share = limitShare(0, 9, 0);
    limit.record({0.0, false}, true, 0, 0);
    CHECK_FALSE(limit.tryAcquire(share, 0));
    CHECK(share.intervalMs >= 5'000);
    CHECK(limit.tryAcquire(share, share.firstAfterMs));
}

TEST_CASE_FIXTURE(LimitFixture, "limit_fleetOfNine_usesMostOfIt")
{
    // An upstream in need keeps its keys as far as its limit allows.
    const FleetResult nine = playFleet(1, 5.9, 9, 1'000, 40);
    CHECK(nine.perSecond > 4.5);
    CHECK(nine.perSecond <= 5.9);
}

TEST_CASE("limit_anyFleet_sumOverAllVmsStaysWithinTheContract")
{
    // Load pattern: every VM has requests for the upstream all the time. Near 200 VMs one VM's share is far below one request a second,
    // so the first requests alone could exceed the limit.
    for (const int vms : {1, 2, 9, 12, 30, 71, 195, 680}) {
        for (const double rate : {0.0, 0.3, 1.0, 2.0, 5.9, 9.9, 30.0, 200.0}) {
            for (unsigned seed = 1; seed <= 5; ++seed) {
                CAPTURE(vms);
                CAPTURE(rate);
                CAPTURE(seed);
                const FleetResult result = playFleet(seed, rate, vms, 2'000, 150);
                CHECK(static_cast<double>(result.busiestWindow) <= tolerated(rate));
            }
        }
    }
}

TEST_CASE("limit_randomFleets_sumOverAllVmsStaysWithinTheContract")
{
    CHECK(rc::check("sum over the fleet", [] {
        const int vms = *rc::gen::inRange(1, 250);
        const double rate = 0.1 * *rc::gen::inRange(0, 400);
        const auto heardWithin = *rc::gen::inRange(100, 20'000);
        const FleetResult result = playFleet(*rc::gen::arbitrary<unsigned>(), rate, vms, heardWithin, 150);
        RC_ASSERT(static_cast<double>(result.busiestWindow) <= tolerated(rate));
    }));
}
