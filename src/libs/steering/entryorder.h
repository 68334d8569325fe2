#pragma once

#include "routingtable.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Wasabistair::Steering {

/// Result of a look-up.
struct EntryOrder {
    std::optional<std::uint16_t> site;
    /// Indices into RoutingTable::entryVms, in the order in which the caller is to try them.
    std::vector<std::uint32_t> vms;
};

/// Ranks the entry VMs that a caller at @p address is to use. Callers of one /24 get the same order. Different /24 networks are
/// spread evenly by rendezvous (highest random weight) hashing, and stay so when a VM fails (Thaler and Ravishankar, "Using
/// Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998).
[[nodiscard]] EntryOrder rankEntryVms(const RoutingTable &table, std::uint32_t address);

constexpr std::size_t maxEntryVmsPerAnswer = 4;

} // namespace Wasabistair::Steering
