#include <steering/quotamember.h>

#include <doctest/doctest.h>

using namespace Wasabistair::Steering;

namespace {

struct QuotaBucketFixture {
    QuotaBucketFixture()
    {
        bucket.filledAtMs = 1'000;
        limitBucket(bucket, {20, 8}, terms, 1'000);
    }

    QuotaTerms terms{2, 400, 4};
    QuotaBucket bucket;
};

/// Borrows from the keepers "own" and "far".
struct QuotaBorrowingFixture {
    /// Asks due now, by VM.
    std::map<std::string, QuotaAsk> asks()
    {
        std::map<std::string, QuotaAsk> due;
        while (const auto next = borrowing.nextAsk("ada", keepers, nowMs)) {
            due[next->vm] = next->ask;
        }
        return due;
    }

    QuotaBorrowing borrowing{400};
    std::vector<TeamKeeper> keepers{{"here", "own"}, {"there", "far"}};
    std::int64_t nowMs = 10'000;
};

/// A team that ranks @p vm first of the VMs a and b.
std::string teamRankedFirstAt(const std::string &vm)
{
    QuotaKeeping keeping(QuotaVm{"a", "north", 1});
    keeping.addRegistered({QuotaVm{"a", "north", 1}, QuotaVm{"b", "north", 1}});
    std::string team = "t";
    while (keeping.keeperOf("north", team)->name != vm) {
        team += "t";
    }
    return team;
}

} // namespace

TEST_CASE_FIXTURE(QuotaBucketFixture, "quotaBucket_begins_emptyAndHoldsItsPart")
{
    CHECK(takeTokens(bucket, 5, 1'000) == 0);
    CHECK(promiseToken(bucket, 1'000) == 100);
    CHECK(takeTokens(bucket, 5, 1'300) == 3);
    CHECK(takeTokens(bucket, 50, 60'000) == 6);
}

TEST_CASE_FIXTURE(QuotaBucketFixture, "quotaBucket_severalAskInVain_areSpacedByTheRate")
{
    CHECK(promiseToken(bucket, 1'000) == 100);
    CHECK(promiseToken(bucket, 1'000) == 200);
}

TEST_CASE_FIXTURE(QuotaBucketFixture, "quotaBucket_limitLowered_clipsTokens")
{
    limitBucket(bucket, {2, 0}, terms, 60'000);
    CHECK(takeTokens(bucket, 50, 60'000) == 2);
}

TEST_CASE_FIXTURE(QuotaBorrowingFixture, "quotaBorrowing_ownKeeperDry_restIsAskedOfOthers")
{
    borrowing.beginWait("ada");
    borrowing.beginWait("ada");
    const auto first = asks();
    REQUIRE(first.size() == 1);
    CHECK(first.at("own").tokens == 2);
    CHECK(borrowing.receive("own", {first.at("own").sequence, 1, 300, true}, nowMs) == 1);
    const auto second = asks();
    REQUIRE(second.size() == 1);
    CHECK(second.at("far").tokens == 1);
    nowMs += 20;
    CHECK(borrowing.receive("far", {second.at("far").sequence, 0, 300, true}, nowMs) == 0);
    CHECK(asks().empty());
}

TEST_CASE_FIXTURE(QuotaBorrowingFixture, "quotaBorrowing_grantTwiceOrLate_countsOnceOrNot")
{
    borrowing.beginWait("ada");
    const QuotaAsk ask = asks().at("own");
    CHECK(borrowing.receive("far", {ask.sequence, 1, 0, true}, nowMs) == 0);
    CHECK(borrowing.receive("own", {ask.sequence, 1, 0, true}, nowMs) == 1);
    CHECK(borrowing.receive("own", {ask.sequence, 1, 0, true}, nowMs) == 0);
    CHECK(borrowing.take("ada", true, nowMs) == nowMs + 400);
    const QuotaAsk late = asks().at("own");
    CHECK(borrowing.receive("own", {late.sequence, 1, 0, true}, nowMs + 400) == 0);
    CHECK(borrowing.lapsedTokens() == 1);
}

TEST_CASE_FIXTURE(QuotaBorrowingFixture, "quotaBorrowing_ownKeeperSilent_othersAreAskedAndItIsTriedAgainLater")
{
    borrowing.beginWait("ada");
    CHECK(asks().contains("own"));
    nowMs += 40;
    CHECK(asks().contains("far"));
    nowMs += 1'200;
    CHECK(asks().contains("own"));
}

TEST_CASE_FIXTURE(QuotaBorrowingFixture, "quotaBorrowing_noKeeperAnswers_callerReturnsSoon")
{
    borrowing.beginWait("ada");
    (void)asks();
    CHECK_FALSE(borrowing.hasKeeper("ada", nowMs));
    CHECK(borrowing.retryAfterMs("ada", 1, nowMs) == 250);
}

TEST_CASE_FIXTURE(QuotaBorrowingFixture, "quotaBorrowing_refusedOnes_areToldTimesInARow")
{
    borrowing.beginWait("ada");
    CHECK(borrowing.receive("own", {asks().at("own").sequence, 0, 300, true}, nowMs) == 0);
    CHECK(borrowing.retryAfterMs("ada", 10, nowMs) == 300);
    CHECK(borrowing.retryAfterMs("ada", 10, nowMs) == 400);
}

TEST_CASE_FIXTURE(QuotaBorrowingFixture, "quotaBorrowing_tokenGivenBack_keepsItsEnd")
{
    borrowing.giveBack("ada", nowMs + 100, nowMs);
    CHECK(borrowing.take("ada", false, nowMs) == nowMs + 100);
    borrowing.giveBack("ada", nowMs + 100, nowMs);
    CHECK_FALSE(borrowing.take("ada", false, nowMs + 100));
}

TEST_CASE("quotaKeeping_newVmRanksFirst_keepsNothingUntilTheFormerKeeperAcknowledges")
{
    QuotaKeeping alone({"a", "north", 1, false});
    CHECK_FALSE(alone.mayKeep("ada"));
    alone.addRegistered({{"a", "north", 1, false}});
    CHECK(alone.mayKeep("ada"));
    QuotaKeeping newer({"b", "north", 2, false});
    const std::vector<QuotaVm> both{{"a", "north", 1, true}, {"b", "north", 2, false}};
    newer.addRegistered(both);
    alone.addRegistered(both);
    // Any team that ranks the new VM first.
    std::string team = "t";
    while (newer.keeperOf("north", team)->name != "b") {
        team += "t";
    }
    CHECK_FALSE(alone.mayKeep(team));
    CHECK_FALSE(newer.mayKeep(team));
    newer.addAcknowledgement("a");
    CHECK(newer.mayKeep(team));
    CHECK(newer.isConfirmable());
}

TEST_CASE("quotaKeeping_newVmIsProvisional_formerKeeperGoesOnUntilItIsSettled")
{
    // Guards against a part that nobody keeps for as long as a new VM must wait.
    const QuotaVm former{"a", "north", 1, true};
    const QuotaVm settled{"b", "north", 2, false};
    QuotaVm provisional = settled;
    provisional.provisional = true;
    QuotaKeeping keeper(former);
    keeper.addRegistered({former});
    QuotaKeeping newer(settled);
    newer.addRegistered({former, provisional});
    const std::string team = teamRankedFirstAt("b");
    CHECK(keeper.addRegistered({former, provisional}).empty());
    CHECK(keeper.mayKeep(team));
    CHECK_FALSE(keeper.ranks("b"));
    CHECK(keeper.keeperOf("north", team)->name == "a");
    CHECK_FALSE(newer.mayKeep(team));
    CHECK_FALSE(newer.hasReadOwnRegistration());

    CHECK(keeper.addRegistered({former, settled}) == std::vector<QuotaVm>{settled});
    CHECK_FALSE(keeper.mayKeep(team));
    CHECK(keeper.ranks("b"));
    newer.addRegistered({former, settled});
    CHECK_FALSE(newer.mayKeep(team));
    newer.addAcknowledgement("a");
    CHECK(newer.mayKeep(team));
    // An older list doesn't undo that.
    keeper.addRegistered({former, provisional});
    CHECK_FALSE(keeper.mayKeep(team));
}

TEST_CASE("quotaKeeping_vmStartsAmongProvisionalOnes_ranksThem")
{
    // Guards against a VM that reads a copy, in which a keeper is still provisional, and keeps its teams.
    const QuotaVm self{"a", "north", 1, true};
    QuotaVm other{"b", "north", 2, false};
    other.provisional = true;
    QuotaKeeping keeping(self);
    keeping.addRegistered({self, other});
    const std::string team = teamRankedFirstAt("b");
    CHECK_FALSE(keeping.mayKeep(team));
    CHECK(keeping.ranks("b"));
}

TEST_CASE("quotaMember_termsChange_bucketsAndTokensFollow")
{
    // Guards against a keeper that goes by the tolerance of its start.
    const QuotaVm self{"a", "north", 1, true};
    QuotaOutbox outbox;
    QuotaMember member(self, {1, 400, 10});
    member.setLimits({{"ada", {100, 0}}}, 0);
    member.addRegistered({self}, 0, outbox);
    REQUIRE(member.keeps("ada"));
    member.setTerms({1, 100, 2}, 1'000);
    // The first look counts the demand that tokens are asked for.
    CHECK_FALSE(member.begin("ada", 1'000, outbox).has_value());
    member.beginWait("ada");
    int admitted = 0;
    for (int i = 0; i < 10; ++i) {
        if (const auto validUntilMs = member.lookAgain("ada", 1'000, outbox)) {
            CHECK(*validUntilMs == 1'100);
            ++admitted;
        }
    }
    CHECK(admitted == 2);
}
