#pragma once

#include "objects.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Wasabistair::Steering {

/// Identity under which an entry VM holds its part of every server's capacity.
/// At most one VM holds a slot at a time (see Platform::SlotClaim).
struct VmSlot {
    std::string region;
    std::int64_t index = 0;

    auto operator<=>(const VmSlot &) const = default;
};

/// Units (slots and queue places) of one server that the holder of @p slot may occupy at once.
/// Over all slots of @p fleet the sum is exactly slotsPerServer + queuePerServer, whatever the
/// VMs know of each other; it depends on nothing but the configuration and the server's id.
[[nodiscard]] std::int64_t unitShare(const Place &place, const Fleet &fleet, const VmSlot &slot, const std::string &serverId);

/// Part @p index of @p count equal parts of @p total; the parts sum to @p total.
/// @p offset rotates which parts get the remainder.
[[nodiscard]] std::int64_t evenPart(std::int64_t total, std::int64_t count, std::int64_t index, std::uint64_t offset);

/// Position of @p slot among all slots of the fleet, or nothing when the fleet has no such slot.
[[nodiscard]] std::optional<std::int64_t> fleetPosition(const Fleet &fleet, const VmSlot &slot);
[[nodiscard]] std::int64_t fleetSize(const Fleet &fleet);

} // namespace Wasabistair::Steering
