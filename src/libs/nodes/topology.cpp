#include "topology.h"

#include <steering/hash.h>

#include <algorithm>

namespace Wasabistair::Nodes {

using Steering::Vm;
using Steering::VmKind;

std::size_t reportGroupOf(const std::string &vm)
{
    // Uses the low bits of the hash. Relays are chosen by its whole value, and each should collect for half of the zone.
    return static_cast<std::size_t>(Steering::hashOf(vm) % reportGroupCount);
}

std::string collectorOf(const std::vector<std::string> &relays, std::size_t group)
{
    return relays.empty() ? std::string() : relays[group % relays.size()];
}

std::vector<std::string> relaysOf(const std::vector<Vm> &vms, const std::string &zone, const std::set<std::string> &suspects)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const Vm &vm : vms) {
        if (vm.kind == VmKind::Entry && vm.zone == zone && !suspects.contains(vm.id)) {
            ranked.emplace_back(Steering::hashOf(vm.id), vm.id);
        }
    }
    const std::size_t count = std::min(relaysPerZone, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<std::string> relays;
    for (std::size_t i = 0; i < count; ++i) {
        relays.push_back(ranked[i].second);
    }
    return relays;
}

std::set<std::string> desiredPeers(const std::vector<Vm> &vms, const Vm &self, const std::set<std::string> &suspects)
{
    std::set<std::string> zones;
    for (const Vm &vm : vms) {
        if (vm.kind == VmKind::Entry) {
            zones.insert(vm.zone);
        }
    }
    std::set<std::string> otherSuspects = suspects;
    otherSuspects.erase(self.id);
    const std::vector<std::string> ownRelays = relaysOf(vms, self.zone, otherSuspects);
    std::set<std::string> peers(ownRelays.begin(), ownRelays.end());
    const bool isRelay = peers.contains(self.id);
    if (isRelay) {
        for (const std::string &zone : zones) {
            const std::vector<std::string> relays = relaysOf(vms, zone, otherSuspects);
            peers.insert(relays.begin(), relays.end());
        }
    }
    peers.erase(self.id);
    return peers;
}

} // namespace Wasabistair::Nodes
