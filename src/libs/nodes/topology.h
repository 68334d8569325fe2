#pragma once

#include <steering/vm.h>

#include <set>
#include <string>
#include <vector>

namespace Wasabistair::Nodes {

/// Entry VMs of each zone that connect the zone to the others.
constexpr std::size_t relaysPerZone = 2;

/// Groups into which the VMs of a zone are divided for their reports; each relay collects those of one.
constexpr std::size_t reportGroups = relaysPerZone;

/// Group of a VM. It depends on nothing but the id, so a VM's figures never move to another object.
[[nodiscard]] std::size_t reportGroupOf(const std::string &vm);

/// The relay among @p relays (in their order) that collects @p group; empty when there is none.
[[nodiscard]] std::string collectorOf(const std::vector<std::string> &relays, std::size_t group);

/// Relays of @p zone: the first of its VMs by hash that are not in @p suspects.
/// Every VM computes them for itself; views that differ cost some extra connections, nothing else.
[[nodiscard]] std::vector<std::string> relaysOf(const std::vector<Steering::Vm> &vms, const std::string &zone, const std::set<std::string> &suspects);

/// Entry VMs that @p self is to be connected to: the relays of its zone, and if it is one itself, those
/// of every other zone. An ordinary VM thus has relaysPerZone connections whatever the size of the fleet.
[[nodiscard]] std::set<std::string> desiredPeers(const std::vector<Steering::Vm> &vms, const Steering::Vm &self, const std::set<std::string> &suspects);

} // namespace Wasabistair::Nodes
