#pragma once

#include "objects.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Wasabistair::Steering {

/// Identifies an entry VM's share of every server's capacity.
/// At most one VM holds a slot at a time (see Platform::SlotClaim).
struct VmSlot {
    std::string region;
    std::int64_t index = 0;

    auto operator<=>(const VmSlot &) const = default;
};

/// Units (slots and queue places) of one server that the holder of VM slot @p slot may occupy at once.
/// The shares of all VM slots of @p fleet sum to exactly slotsPerServer + queuePerServer. A share depends only on the
/// configuration and the server's id, so VMs need not communicate to agree on it.
[[nodiscard]] std::int64_t unitShare(const Place &place, const Fleet &fleet, const VmSlot &slot, const std::string &serverId);

/// Part @p index of @p count parts of @p total that differ by at most 1 and sum to @p total.
/// @p offset selects the parts that get the remainder.
[[nodiscard]] std::int64_t evenPart(std::int64_t total, std::int64_t count, std::int64_t index, std::uint64_t offset);

/// Position of @p slot among all VM slots of the fleet, or nothing when the fleet has no such slot.
[[nodiscard]] std::optional<std::int64_t> fleetPosition(const Fleet &fleet, const VmSlot &slot);
/// Number of VM slots of all regions.
[[nodiscard]] std::int64_t fleetSize(const Fleet &fleet);

} // namespace Wasabistair::Steering
