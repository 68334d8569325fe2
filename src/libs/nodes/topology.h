#pragma once

#include <steering/vm.h>

#include <set>
#include <string>
#include <vector>

namespace Wasabistair::Nodes {

/// Number of entry VMs in each zone that connect the zone to the others.
constexpr std::size_t relaysPerZone = 2;

/// Number of groups that a zone's VMs are divided into for their reports; each relay collects the reports of one group.
constexpr std::size_t reportGroupCount = relaysPerZone;

/// Report group of a VM. Depends on the id only, so that a VM's figures always stay in the same stored object.
[[nodiscard]] std::size_t reportGroupOf(const std::string &vm);

/// The relay among @p relays that collects the reports of @p group; depends on their order. Empty if there are no relays.
[[nodiscard]] std::string collectorOf(const std::vector<std::string> &relays, std::size_t group);

/// Relays of @p zone: the relaysPerZone entry VMs with the lowest hash that are not in @p suspects.
/// Every VM computes them locally; differing suspects only cost some extra connections.
[[nodiscard]] std::vector<std::string> relaysOf(const std::vector<Steering::Vm> &vms, const std::string &zone, const std::set<std::string> &suspects);

/// Entry VMs that @p self should be connected to: the relays of its zone and, if it is a relay itself, those
/// of every other zone. An ordinary VM thus has relaysPerZone connections whatever the size of the fleet.
[[nodiscard]] std::set<std::string> desiredPeers(const std::vector<Steering::Vm> &vms, const Steering::Vm &self, const std::set<std::string> &suspects);

} // namespace Wasabistair::Nodes
