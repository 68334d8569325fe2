#include "blocks.h"

#include <base/clock.h>
#include <base/rcu.h>
#include <steering/decision.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Steering;

namespace {

constexpr std::size_t blocks = 650'000;
constexpr std::int64_t now = 1'000'000;
constexpr std::int64_t wallNow = 1'800'000'000'000;

std::shared_ptr<const RoutingTable> makeTable(std::uint64_t generation, const std::vector<ClientBlock> &clientBlocks, const RoutingTable *previous)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->generation = generation;
    configuration->objects = Benchmarks::makeFullSizeObjects();
    configuration->blocks = ClientBlockMap(clientBlocks, configuration->objects.sites);
    RoutingInputs inputs;
    inputs.configuration = configuration;
    inputs.ownRegion = "r0";
    inputs.slot = VmSlot{"r0", 3};
    inputs.now = now;
    for (const Place &place : configuration->objects.places) {
        for (int i = 0; i < 100; ++i) {
            inputs.vms.push_back({place.region + "-server" + std::to_string(i), VmKind::Upstream, VmState::Live, "h", 1, 0, place.region,
                place.zones[static_cast<std::size_t>(i) % place.zones.size()], "s", 0});
        }
    }
    return buildRoutingTable(inputs, previous);
}

/// Looks up the site of a random client address, selects place and server, and releases the server's unit again.
void decideOnce(const Base::RcuPointer<RoutingTable> &pointer, std::uint64_t random)
{
    pointer.read([&](const RoutingTable &table) {
        const auto site = table.configuration->blocks.site(static_cast<std::uint32_t>(random >> 16));
        const std::string &region = site ? table.configuration->objects.sites[*site].region : table.ownRegion;
        const Decision decision = decide(table, {0, region, now, wallNow, random, nullptr});
        if (!decision.failure) {
            table.places[decision.place].servers[decision.server].load->release();
        }
    });
}

std::uint64_t nextRandom(std::uint64_t &state)
{
    state = state * 6364136223846793005U + 1442695040888963407U;
    return state;
}

double throughput(const Base::RcuPointer<RoutingTable> &pointer, int threads, int milliseconds)
{
    std::atomic<bool> stop{false};
    std::atomic<std::uint64_t> total{0};
    std::vector<std::thread> workers;
    for (int i = 0; i < threads; ++i) {
        workers.emplace_back([&, i] {
            std::uint64_t state = static_cast<std::uint64_t>(i) + 1;
            std::uint64_t count = 0;
            while (!stop) {
                decideOnce(pointer, nextRandom(state));
                ++count;
            }
            total += count;
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    stop = true;
    for (auto &worker : workers) {
        worker.join();
    }
    return static_cast<double>(total) / milliseconds * 1'000;
}

} // namespace

int main()
{
    const auto objects = Benchmarks::makeFullSizeObjects();
    auto clientBlocks = Benchmarks::makeBlocks(blocks, objects.sites);
    Base::RcuPointer<RoutingTable> pointer(makeTable(1, clientBlocks, nullptr));
    std::vector<std::int64_t> samples(2'000'000);
    std::uint64_t state = 7;
    for (auto &sample : samples) {
        const auto begin = std::chrono::steady_clock::now();
        decideOnce(pointer, nextRandom(state));
        sample = std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now() - begin).count();
    }
    std::sort(samples.begin(), samples.end());
    std::cout << "decision_ns p50=" << samples[samples.size() / 2] << " p99=" << samples[samples.size() * 99 / 100]
              << " p99.9=" << samples[samples.size() * 999 / 1000] << " blocks=" << blocks << std::endl;
    std::atomic<bool> stop{false};
    std::thread publisher([&] {
        for (std::uint64_t generation = 2; !stop; ++generation) {
            pointer.publish(makeTable(generation, clientBlocks, pointer.load().get()));
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }
    });
    const double one = throughput(pointer, 1, 4'000);
    const double eight = throughput(pointer, 8, 4'000);
    stop = true;
    publisher.join();
    std::cout << "decisions_per_second one_thread=" << one << " eight_threads=" << eight << " ratio=" << eight / one << " (a generation published every second)"
              << std::endl;
    return 0;
}
