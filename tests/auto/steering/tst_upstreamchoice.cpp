#include <doctest/doctest.h>

#include <steering/hash.h>
#include <steering/upstreamchoice.h>

#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace Wasabistair::Steering;

namespace {

/// Chooses among @p upstreams, whose loads are already set.
std::optional<std::size_t> chooseByLoad(std::vector<UpstreamView> upstreams, const ChoiceQuery &query, const AdmissionPredicate &mayUse)
{
    const std::vector<UpstreamView> loaded = upstreams;
    return chooseUpstream(
        upstreams, rankUpstreams(upstreams, query), query, [&](std::size_t index) { return loaded[index].load; }, mayUse);
}

struct ChoiceFixture {
    ChoiceFixture()
    {
        for (int i = 0; i < 16; ++i) {
            UpstreamView view;
            view.idHash = hashOf("upstream-" + std::to_string(i));
            view.slots = 6;
            upstreams.push_back(view);
        }
    }

    [[nodiscard]] std::size_t firstOf(const std::string &key, double localPreference = 1) const
    {
        return rankUpstreams(upstreams, {hashOf(key), localPreference, 2.6}).front();
    }

    [[nodiscard]] std::optional<std::size_t> choose(const std::string &key) const
    {
        return chooseByLoad(upstreams, {hashOf(key), 1, 2.6}, [](std::size_t) { return true; });
    }

    std::vector<UpstreamView> upstreams;
};

std::string keyOf(int i)
{
    return "key-" + std::to_string(i);
}

} // namespace

TEST_CASE_FIXTURE(ChoiceFixture, "rank_upstreamLeaves_movesOnlyItsOwnKeys")
{
    constexpr int keys = 2'000;
    std::vector<std::size_t> before;
    for (int i = 0; i < keys; ++i) {
        before.push_back(firstOf(keyOf(i)));
    }
    upstreams[3].excluded = true;
    for (int i = 0; i < keys; ++i) {
        const std::size_t now = firstOf(keyOf(i));
        CHECK(now != 3);
        if (before[static_cast<std::size_t>(i)] != 3) {
            CHECK(now == before[static_cast<std::size_t>(i)]);
        }
    }
}

TEST_CASE_FIXTURE(ChoiceFixture, "rank_newUpstreamWarmsUp_getsItsKeysGradually")
{
    constexpr int keys = 2'000;
    const auto keysOfNewUpstream = [&](double ramp) {
        upstreams[7].ramp = ramp;
        int count = 0;
        for (int i = 0; i < keys; ++i) {
            count += firstOf(keyOf(i)) == 7 ? 1 : 0;
        }
        return count;
    };
    const int few = keysOfNewUpstream(0.2);
    const int half = keysOfNewUpstream(0.5);
    const int all = keysOfNewUpstream(1);
    CHECK(few > 0);
    CHECK(few < half);
    CHECK(half < all);
    CHECK(few < all / 3);
}

TEST_CASE("rank_slotsDiffer_keysSpreadInProportion")
{
    std::vector<UpstreamView> upstreams(2);
    upstreams[0].idHash = hashOf("small");
    upstreams[0].slots = 2;
    upstreams[1].idHash = hashOf("large");
    upstreams[1].slots = 6;
    int large = 0;
    constexpr int keys = 8'000;
    for (int i = 0; i < keys; ++i) {
        large += rankUpstreams(upstreams, {hashOf(keyOf(i)), 1, 2}).front() == 1 ? 1 : 0;
    }
    CHECK(large == doctest::Approx(0.75 * keys).epsilon(0.05));
}

TEST_CASE_FIXTURE(ChoiceFixture, "choose_crowdOnAllUpstreams_keepsKeysOnTheirFirstUpstream")
{
    // An overload fills every upstream to twice its slots. Moving keys to other upstreams would run each request without its object in the
    // cache, which takes several times as long and makes the overload worse.
    for (UpstreamView &view : upstreams) {
        view.load = 2.0 * view.slots;
    }
    for (int i = 0; i < 200; ++i) {
        CHECK(choose(keyOf(i)) == firstOf(keyOf(i)));
    }
}

TEST_CASE_FIXTURE(ChoiceFixture, "choose_firstIsOverloaded_usesTheNextInOrder")
{
    const std::vector<std::size_t> order = rankUpstreams(upstreams, {hashOf("hot"), 1, 2.6});
    upstreams[order[0]].load = 3.0 * upstreams[order[0]].slots;
    CHECK(choose("hot") == order[1]);
    upstreams[order[1]].load = 3.0 * upstreams[order[1]].slots;
    CHECK(choose("hot") == order[2]);
}

TEST_CASE_FIXTURE(ChoiceFixture, "choose_allOverloaded_choosesNone")
{
    for (UpstreamView &view : upstreams) {
        view.load = 2.7 * view.slots;
    }
    CHECK_FALSE(choose("any"));
}

TEST_CASE("choose_anyViews_neverChoosesAnUnusableOrOverloadedUpstream")
{
    CHECK(rc::check([] {
        std::vector<UpstreamView> upstreams(static_cast<std::size_t>(*rc::gen::inRange(0, 20)));
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            upstreams[i].idHash = hashOf(std::to_string(i));
            upstreams[i].slots = *rc::gen::inRange(1, 8);
            upstreams[i].load = *rc::gen::inRange(0, 30);
            upstreams[i].excluded = *rc::gen::arbitrary<bool>();
            upstreams[i].healthState = *rc::gen::element(HealthState::Healthy, HealthState::Probation, HealthState::Ejected);
        }
        const double limit = *rc::gen::inRange(5, 30) / 10.0;
        const auto rejected = static_cast<std::size_t>(*rc::gen::inRange(0, 20));
        const auto chosen = chooseByLoad(upstreams, {*rc::gen::arbitrary<std::uint64_t>(), 1, limit}, [&](std::size_t index) { return index != rejected; });
        if (chosen) {
            const UpstreamView &view = upstreams.at(*chosen);
            RC_ASSERT(!view.excluded);
            RC_ASSERT(view.healthState != HealthState::Ejected);
            RC_ASSERT(view.load < limit * view.slots);
            RC_ASSERT(*chosen != rejected);
        }
    }));
}
