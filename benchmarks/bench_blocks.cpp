// Measures memory and processor time of one process by number of client blocks, at rest and during changes.

#include "blocks.h"

#include <nodes/generationstore.h>
#include <platform/content.h>
#include <standins/fleet.h>

#include <algorithm>
#include <csignal>
#include <cstdio>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

void measure(std::size_t count)
{
    FleetPlan plan;
    plan.regions = {"leinster"};
    plan.upstreamsPerRegion = 1;
    Fleet fleet(plan);
    Steering::ObjectSet objects = fleet.objects();
    for (int i = 0; i < 71; ++i) {
        objects.sites.push_back({"site-" + std::to_string(100 + i), "leinster", {"leinster-a"}});
    }
    std::sort(objects.sites.begin(), objects.sites.end());
    objects.clientBlocks = Benchmarks::makeBlocks(count, objects.sites);
    const Platform::Content content = Platform::encodeContent(objects);
    std::size_t contentBytes = content.manifest.size();
    for (const auto &[digest, bytes] : content.parts) {
        contentBytes += bytes.size();
    }
    const std::uint64_t generation = fleet.publish(objects);
    fleet.startVms();
    if (!fleet.awaitReady(generation, 60'000)) {
        std::printf("%zu blocks: not ready\n", count);
        return;
    }
    const std::size_t residentAtRest = fleet.vms()[0].process->residentBytes();
    const std::int64_t cpuBefore = fleet.vms()[0].process->cpuMs();
    std::size_t peak = 0;
    constexpr int changes = 5;
    std::size_t changedBytes = 0;
    for (int i = 0; i < changes; ++i) {
        objects.clientBlocks[static_cast<std::size_t>(i) * count / changes].site = "site-150";
        const Platform::Content next = Platform::encodeContent(objects);
        changedBytes = next.manifest.size();
        for (const auto &[digest, bytes] : next.parts) {
            changedBytes += content.parts.contains(digest) ? 0 : bytes.size();
        }
        const std::uint64_t accepted = fleet.publish(objects);
        eventually(
            [&] {
                peak = std::max(peak, fleet.vms()[0].process->residentBytes());
                return fleet.status(0).value("generation", std::uint64_t{0}) >= accepted;
            },
            30'000);
        peak = std::max(peak, fleet.vms()[0].process->residentBytes());
    }
    const double cpu = static_cast<double>(fleet.vms()[0].process->cpuMs() - cpuBefore) / changes;
    constexpr double megabyte = 1 << 20;
    std::printf("%zu blocks: content %.2f MB in %zu parts, resident %.1f MB, highest during changes %.1f MB, processor %.0f ms a change, bytes moved by the "
                "last change %zu (%d changes so far)\n",
        count, static_cast<double>(contentBytes) / megabyte, content.parts.size(), static_cast<double>(residentAtRest) / megabyte,
        static_cast<double>(peak) / megabyte, cpu, changedBytes, changes);
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    for (const std::size_t count : {std::size_t{1'000}, std::size_t{50'000}, std::size_t{150'000}, std::size_t{300'000}, std::size_t{650'000}}) {
        measure(count);
    }
    return 0;
}
