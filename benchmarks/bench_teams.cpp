// Time to find the team of a caller's key, which is done once for each request.

#include <steering/teamdirectory.h>

#include <benchmark/benchmark.h>

#include <random>
#include <string>
#include <vector>

using namespace Wasabistair::Steering;

namespace {

constexpr int keysPerTeam = 10;
constexpr std::size_t queryCount = 4'096;

std::string randomKey(std::mt19937_64 &random)
{
    return std::to_string(random()) + std::to_string(random());
}

/// A directory of @p keyCount keys, and keys to look up in random order: held ones if @p held, else others.
void teamOfKey(benchmark::State &state, bool held)
{
    std::mt19937_64 random(20261204);
    std::vector<TeamDefinition> teams(static_cast<std::size_t>(state.range(0) / keysPerTeam));
    std::vector<std::string> queries;
    for (TeamDefinition &team : teams) {
        team.rule.name = "team-" + randomKey(random);
        for (int i = 0; i < keysPerTeam; ++i) {
            team.keys.push_back(randomKey(random));
        }
    }
    while (queries.size() < queryCount) {
        queries.push_back(held ? teams[random() % teams.size()].keys[random() % keysPerTeam] : randomKey(random));
    }
    const TeamDirectory directory(teams);
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(directory.findByKey(queries[next]));
        next = (next + 1) % queryCount;
    }
}

} // namespace

BENCHMARK_CAPTURE(teamOfKey, held, true)->Arg(100)->Arg(10'000)->Arg(100'000);
BENCHMARK_CAPTURE(teamOfKey, unknown, false)->Arg(100)->Arg(10'000)->Arg(100'000);
BENCHMARK_MAIN();
