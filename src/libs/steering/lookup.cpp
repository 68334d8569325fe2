#include "lookup.h"

#include <algorithm>
#include <numeric>

namespace Wasabistair::Steering {

namespace {

// Estimates of what a whole core and each Mbit/s carry a second: VMs of the present deployments use some 0.02 cores at 75 requests
// a second, and a request moves about 12 kB. Only their ratio between VMs matters.
constexpr double requestsPerCore = 3'000;
constexpr double requestsPerMbps = 10;
// No VM is asked for more than this; larger ones only add safety.
constexpr double largestCapacity = 500;
constexpr std::size_t leastEntries = 2;

} // namespace

double carryingCapacity(const EntryVm &vm)
{
    return std::min({vm.processorShare * requestsPerCore, vm.linkMbps * requestsPerMbps, largestCapacity});
}

std::vector<EntryVm> entriesFor(const std::string &region, const std::vector<EntryVm> &living, const std::function<double()> &random)
{
    std::vector<EntryVm> near;
    std::copy_if(living.begin(), living.end(), std::back_inserter(near), [&](const EntryVm &vm) { return vm.region == region; });
    if (near.empty()) {
        near = living;
    }
    double largest = 0;
    for (const EntryVm &vm : near) {
        largest = std::max(largest, carryingCapacity(vm));
    }
    std::vector<EntryVm> named;
    std::vector<EntryVm> others;
    for (const EntryVm &vm : near) {
        (random() * largest < carryingCapacity(vm) ? named : others).push_back(vm);
    }
    while (named.size() < leastEntries && !others.empty()) {
        const auto index = std::min(others.size() - 1, static_cast<std::size_t>(random() * static_cast<double>(others.size())));
        named.push_back(others[index]);
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    }
    named.resize(std::min(named.size(), maxEntries));
    return named;
}

} // namespace Wasabistair::Steering
