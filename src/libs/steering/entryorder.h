#pragma once

#include "routingtable.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Wasabistair::Steering {

/// Answer of a look-up.
struct EntryOrder {
    std::optional<std::uint16_t> site;
    /// Indices into RoutingTable::entryVms, to be tried in this order.
    std::vector<std::uint32_t> vms;
};

/// Entry VMs that a caller at @p address is to use. Callers of one /24 get the same order; different
/// ones are spread by highest random weight, also for the second VM once the first is gone (Thaler and
/// Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998).
[[nodiscard]] EntryOrder entryOrder(const RoutingTable &table, std::uint32_t address);

constexpr std::size_t maxEntryVmsPerAnswer = 4;

} // namespace Wasabistair::Steering
