#include "lookup.h"

#include <algorithm>
#include <numeric>

namespace Wasabistair::Steering {

namespace {

// Estimated requests per second of a full core and of each Mbit/s: entry VMs use about 0.02 cores at 75 requests/s, and a request
// transfers about 12 kB. Only the ratio between VMs matters.
constexpr double requestsPerCore = 3'000;
constexpr double requestsPerMbps = 10;
// Requests per second above which a larger VM gets no more callers; the rest of its capacity is reserve.
constexpr double maxCapacity = 500;
constexpr std::size_t minSelectedVms = 2;

} // namespace

double estimatedCapacity(const EntryVm &vm)
{
    return std::min({vm.processorShare * requestsPerCore, vm.linkMbps * requestsPerMbps, maxCapacity});
}

std::vector<EntryVm> selectEntryVms(const std::string &region, const std::vector<EntryVm> &alive, const std::function<double()> &random)
{
    std::vector<EntryVm> candidates;
    std::copy_if(alive.begin(), alive.end(), std::back_inserter(candidates), [&](const EntryVm &vm) { return vm.region == region; });
    if (candidates.empty()) {
        candidates = alive;
    }
    double largest = 0;
    for (const EntryVm &vm : candidates) {
        largest = std::max(largest, estimatedCapacity(vm));
    }
    std::vector<EntryVm> selected;
    std::vector<EntryVm> remaining;
    for (const EntryVm &vm : candidates) {
        (random() * largest < estimatedCapacity(vm) ? selected : remaining).push_back(vm);
    }
    while (selected.size() < minSelectedVms && !remaining.empty()) {
        const auto index = std::min(remaining.size() - 1, static_cast<std::size_t>(random() * static_cast<double>(remaining.size())));
        selected.push_back(remaining[index]);
        remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(index));
    }
    selected.resize(std::min(selected.size(), maxSelectedVms));
    return selected;
}

} // namespace Wasabistair::Steering
