#include "quotafleet.h"

#include <doctest/doctest.h>

using namespace Wasabistair::Steering;

namespace {

constexpr std::int64_t windowMs = 1'000;
constexpr double overage = 0.1;
const std::vector<std::string> teams{"ada", "bo", "cy"};
const std::vector<TeamLimit> limitChoices{{20, 40}, {15, 4}, {60, 0}};

/// Random interleavings of everything that can happen to a small fleet. One run per seed.
struct QuotaRun: QuotaFleet {
    explicit QuotaRun(std::uint64_t seed, std::int64_t oldestCopy = 0)
        : random(seed)
        , limitsChange(seed % 4 == 0)
    {
        oldestCopyMs = oldestCopy;
        terms = {2, 80, 6};
        for (const std::string &team : teams) {
            limits[team] = limitChoices[0];
        }
        for (const auto &[name, part] : std::map<std::string, std::string>{{"a", "north"}, {"b", "north"}, {"c", "north"}, {"d", "south"}}) {
            members[name].vm = {name, part, 0, false};
        }
        start(members.at("a"), 0);
        start(members.at("d"), 0);
        limitHistory.push_back({0, limits});
    }

    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    }

    Member &anyMember()
    {
        return std::next(members.begin(), static_cast<std::ptrdiff_t>(below(members.size())))->second;
    }

    /// Several requests of one team, so that demand is far over the limit while callers are busy.
    void request(Member &member)
    {
        const std::string &team = teams[below(8) < 6 ? 0 : below(teams.size())];
        for (std::size_t count = busy ? below(8) : 0; count > 0; --count) {
            bool admitted = begin(member, team);
            if (!admitted) {
                member.process->beginWait(team);
                admitted = lookAgain(member, team);
                member.process->endWait(team);
            }
            if (admitted) {
                used[team].push_back(nowMs);
            }
        }
    }

    void fly()
    {
        // Mostly in order, at times after any delay.
        const std::size_t index = below(below(8) == 0 ? flying.size() : std::min<std::size_t>(3, flying.size()));
        const Flying flight = flying[index];
        // One in eight is delivered and stays, so arrives twice; one in eight is lost.
        const std::size_t fate = below(8);
        if (fate != 0) {
            flying.erase(flying.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (fate != 1) {
            deliver(flight);
        }
    }

    void changeLimits()
    {
        limits[teams[below(teams.size())]] = limitChoices[below(limitChoices.size())];
        for (auto &[name, member] : members) {
            if (member.process) {
                member.process->setLimits(limits, nowMs);
            }
        }
        limitHistory.push_back({nowMs, limits});
    }

    void comeBackOrRegister(Member &member)
    {
        const std::size_t event = below(16);
        if (event == 0) {
            std::size_t revision = store.size() - 1;
            while (revision > 0 && isCopy(revision - 1) && below(4) != 0) {
                --revision;
            }
            restore(revision);
        } else if (event < 6) {
            checkRegistration(member);
        } else if (event < 11) {
            settleIfDue(member);
        } else {
            confirmIfDue(member);
        }
    }

    void step()
    {
        nowMs += static_cast<std::int64_t>(below(5));
        Member &member = anyMember();
        const std::size_t event = below(400);
        busy = below(200) == 0 ? !busy : busy;
        if (event < 2) {
            member.process.reset();
        } else if (event < 4 || (event < 60 && member.cutOff)) {
            member.cutOff = !member.cutOff;
        } else if (event < 7 && limitsChange) {
            changeLimits();
        } else if (event < 60 && !member.process) {
            member.seen = below(store.size());
            start(member, member.seen);
        } else if (event < 60 && member.process && !member.cutOff) {
            read(member, member.seen + below(store.size() - member.seen));
        } else if (event < 80 && oldestCopyMs > 0 && member.process && !member.cutOff) {
            comeBackOrRegister(member);
        } else if (event < 80 && member.process && !member.cutOff) {
            confirmIfDue(member);
        } else if (event < 110 && member.process) {
            tick(member);
        } else if (event < 300 && !flying.empty()) {
            for (std::size_t count = below(4); count > 0 && !flying.empty(); --count) {
                fly();
            }
        } else if (member.process) {
            request(member);
        }
    }

    /// Whether two VMs of one part keep the same team.
    bool isKeptTwice() const
    {
        std::map<std::pair<std::string, std::string>, int> keepers;
        for (const auto &[name, member] : members) {
            for (const std::string &team : teams) {
                if (member.process && member.process->keeps(team) && ++keepers[{member.vm.part, team}] > 1) {
                    return true;
                }
            }
        }
        return false;
    }

    /// The most that may be used in a window from @p beginMs: the largest limit of the window and the one before it holds.
    double allowed(const std::string &team, std::int64_t beginMs) const
    {
        double most = 0;
        for (std::size_t i = 0; i < limitHistory.size(); ++i) {
            const bool endedBefore = i + 1 < limitHistory.size() && limitHistory[i + 1].first < beginMs - windowMs;
            if (!endedBefore && limitHistory[i].first <= beginMs + windowMs) {
                const TeamLimit &limit = limitHistory[i].second.at(team);
                most = std::max(most, (limit.requestsPerSecond * windowMs / 1'000 + limit.burst) * (1 + overage) + terms.extraBurst);
            }
        }
        return most;
    }

    /// The largest part of what is allowed that was used in any window; over 1 is too much.
    double fullestWindow() const
    {
        double fullest = 0;
        for (const auto &[team, times] : used) {
            std::size_t begin = 0;
            for (std::size_t end = 0; end < times.size(); ++end) {
                for (; times[end] - times[begin] >= windowMs; ++begin) {}
                fullest = std::max(fullest, static_cast<double>(end - begin + 1) / allowed(team, times[begin]));
            }
        }
        return fullest;
    }

    std::mt19937_64 random;
    bool busy = true;
    bool limitsChange;
    std::map<std::string, std::vector<std::int64_t>> used;
    std::vector<std::pair<std::int64_t, Limits>> limitHistory;
};

void checkRuns(std::int64_t oldestCopyMs)
{
    constexpr std::uint64_t seeds = 2'000;
    constexpr int stepsPerSeed = 2'000;
    std::size_t requests = 0;
    std::size_t keptAtEnd = 0;
    double fullestOfAll = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        QuotaRun run(seed, oldestCopyMs);
        bool keptTwice = false;
        for (int i = 0; i < stepsPerSeed && !keptTwice; ++i) {
            run.step();
            keptTwice = run.isKeptTwice();
        }
        INFO("seed ", seed, " at ", run.nowMs, " ms");
        REQUIRE_FALSE(keptTwice);
        const double fullest = run.fullestWindow();
        REQUIRE(fullest <= 1);
        fullestOfAll = std::max(fullestOfAll, fullest);
        for (const auto &[team, times] : run.used) {
            requests += times.size();
        }
        for (const auto &[name, member] : run.members) {
            keptAtEnd += member.process && member.process->keeps(teams[0]) ? 1 : 0;
        }
    }
    MESSAGE("requests admitted: ", requests, ", keepers of a team at the end: ", keptAtEnd, ", fullest window: ", fullestOfAll);
    // Runs in which nothing is granted, or nobody keeps anything, would show nothing.
    CHECK(requests > 50 * seeds);
    CHECK(keptAtEnd > seeds / 2);
}

} // namespace

TEST_CASE("quotaModel_anyInterleaving_eachPartIsKeptOnceAndEveryWindowIsWithinTheBound")
{
    checkRuns(0);
}

TEST_CASE("quotaModel_storeComesBackFromOldCopies_eachPartIsKeptOnceAndEveryWindowIsWithinTheBound")
{
    // Guards against two keepers of a part: one that the copy lacks, and one that started from the copy.
    constexpr std::int64_t oldestCopyMs = 150;
    checkRuns(oldestCopyMs);
}
