#include <doctest/doctest.h>

#include <platform/lease.h>
#include <standins/memorystore.h>

#include <rapidcheck.h>

#include <memory>

using namespace Wasabistair;
using namespace Wasabistair::Platform;
using Wasabistair::StandIns::ManualClock;
using Wasabistair::StandIns::MemoryStore;

namespace {

constexpr std::int64_t termMs = 10'000;

struct LeaseFixture {
    MemoryStore store;
    ManualClock clock;
    Lease one{store, clock, "lease", "one", 1, termMs};
    Lease two{store, clock, "lease", "two", 1, termMs};
};

} // namespace

TEST_CASE_FIXTURE(LeaseFixture, "lease_held_isRefusedToOthersUntilItsTermAndMarginPassed")
{
    CHECK(one.refresh());
    CHECK_FALSE(two.refresh());
    clock.advance(termMs);
    CHECK_FALSE(one.isHeld());
    CHECK_FALSE(two.refresh());
    clock.advance(termMs / 10);
    CHECK(two.refresh());
    CHECK(two.epoch() == 2);
}

TEST_CASE_FIXTURE(LeaseFixture, "lease_holderPausedForAMinute_findsItselfFenced")
{
    CHECK(one.refresh());
    CHECK_FALSE(two.refresh());
    clock.advance(60'000);
    CHECK(two.refresh());
    CHECK_FALSE(one.isHeld());
    CHECK_FALSE(one.refresh());
    CHECK(two.isHeld());
    CHECK(two.epoch() > 1);
}

TEST_CASE_FIXTURE(LeaseFixture, "lease_renewalWithLostAnswer_isFoundAtTheNextRefresh")
{
    CHECK(one.refresh());
    store.loseAnswers = 1;
    one.refresh();
    CHECK(one.refresh());
    CHECK(one.epoch() == 1);
}

TEST_CASE_FIXTURE(LeaseFixture, "lease_released_isTakenAtOnce")
{
    CHECK(one.refresh());
    one.release();
    CHECK_FALSE(one.isHeld());
    CHECK(two.refresh());
}

TEST_CASE("lease_randomPausesAndFaults_neverHasTwoHolders")
{
    CHECK(rc::check([] {
        MemoryStore store;
        ManualClock clock;
        std::vector<std::unique_ptr<Lease>> leases;
        for (int i = 0; i < 3; ++i) {
            leases.push_back(std::make_unique<Lease>(store, clock, "lease", "holder" + std::to_string(i), 1, termMs));
        }
        std::uint64_t highestEpoch = 0;
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8))) {
            clock.advance(*rc::gen::inRange(0, 9'000));
            store.loseAnswers = step == 6 ? 1 : 0;
            store.loseWrites = step == 7 ? 1 : 0;
            const std::size_t actor = *rc::gen::inRange<std::size_t>(0, leases.size());
            if (step == 5) {
                leases[actor]->release();
            } else {
                leases[actor]->refresh();
            }
            int holders = 0;
            for (const auto &lease : leases) {
                if (lease->isHeld()) {
                    ++holders;
                    RC_ASSERT(lease->epoch() >= highestEpoch);
                    highestEpoch = lease->epoch();
                }
            }
            RC_ASSERT(holders <= 1);
        }
    }));
}
