#include "blocks.h"

#include <steering/clientblockmap.h>
#include <steering/shiftlimiter.h>

#include <benchmark/benchmark.h>

using namespace Wasabistair;

namespace {

void blockMapLookup(benchmark::State &state)
{
    const auto objects = Benchmarks::makeFullSizeObjects();
    const Steering::ClientBlockMap map(Benchmarks::makeBlocks(static_cast<std::size_t>(state.range(0)), objects.sites), objects.sites);
    std::mt19937 random(1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(map.site(static_cast<std::uint32_t>(random())));
    }
    state.counters["ranges"] = static_cast<double>(map.rangeCount());
}

void shareAccountMove(benchmark::State &state)
{
    static Steering::ShiftShareLimiter limiter;
    for (auto _ : state) {
        if (!limiter.tryMove(100, 1'000)) {
            limiter.countStay(1'000);
        }
    }
}

} // namespace

BENCHMARK(blockMapLookup)->Arg(50'000)->Arg(150'000)->Arg(300'000)->Arg(650'000);
BENCHMARK(shareAccountMove)->ThreadRange(1, 8);
BENCHMARK_MAIN();
