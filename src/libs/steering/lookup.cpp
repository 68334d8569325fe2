#include "lookup.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace Wasabistair::Steering {

namespace {

// Requests a second of a whole core and of each Mbit/s, at the request sizes of the present deployments (docs/benchmarks.md).
constexpr double requestsPerCore = 3'000;
constexpr double requestsPerMbps = 10;
// No VM is asked for more than this; larger ones only add safety.
constexpr double largestCapacity = 500;
constexpr std::size_t leastEntries = 2;
// A zone serves its own callers alone only if the loss of one VM leaves enough, and if it has this part of an even share.
constexpr std::size_t leastZoneVms = 4;
constexpr double leastZonePart = 0.75;

double capacityOf(const std::vector<EntryVm> &vms)
{
    return std::accumulate(vms.begin(), vms.end(), 0.0, [](double sum, const EntryVm &vm) { return sum + carryingCapacity(vm); });
}

/// The VMs of @p zone if it has enough of them and its part of the capacity; else all of @p near.
std::vector<EntryVm> zoneIfItSuffices(std::vector<EntryVm> near, const std::string &zone)
{
    std::set<std::string> zones;
    std::vector<EntryVm> inZone;
    for (const EntryVm &vm : near) {
        zones.insert(vm.zone);
        if (vm.zone == zone) {
            inZone.push_back(vm);
        }
    }
    const bool fairPart = capacityOf(inZone) * static_cast<double>(zones.size()) >= leastZonePart * capacityOf(near);
    return inZone.size() >= leastZoneVms && fairPart ? inZone : near;
}

} // namespace

double carryingCapacity(const EntryVm &vm)
{
    return std::min({vm.processorShare * requestsPerCore, vm.linkMbps * requestsPerMbps, largestCapacity});
}

std::vector<EntryVm> entriesFor(
    const std::string &region, const std::string &zone, const std::vector<EntryVm> &living, const std::function<double()> &random)
{
    std::vector<EntryVm> near;
    std::copy_if(living.begin(), living.end(), std::back_inserter(near), [&](const EntryVm &vm) { return vm.region == region; });
    if (near.empty()) {
        near = living;
    }
    near = zoneIfItSuffices(std::move(near), zone);
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
