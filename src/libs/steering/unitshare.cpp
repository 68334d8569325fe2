#include "unitshare.h"

#include "hash.h"

namespace Wasabistair::Steering {

namespace {

constexpr std::int64_t percent = 100;
constexpr std::uint64_t localSeed = 1;
constexpr std::uint64_t remoteSeed = 2;

std::int64_t slotsIn(const Fleet &fleet, const std::string &region)
{
    for (const FleetRegion &entry : fleet.regions) {
        if (entry.region == region) {
            return entry.vmSlots;
        }
    }
    return 0;
}

/// Position of @p slot among the VM slots outside @p region.
std::int64_t remotePosition(const Fleet &fleet, const VmSlot &slot, const std::string &region)
{
    std::int64_t preceding = 0;
    for (const FleetRegion &entry : fleet.regions) {
        if (entry.region == slot.region) {
            return preceding + slot.index;
        }
        if (entry.region != region) {
            preceding += entry.vmSlots;
        }
    }
    return preceding;
}

} // namespace

std::int64_t fleetSize(const Fleet &fleet)
{
    std::int64_t sum = 0;
    for (const FleetRegion &entry : fleet.regions) {
        sum += entry.vmSlots;
    }
    return sum;
}

std::optional<std::int64_t> fleetPosition(const Fleet &fleet, const VmSlot &slot)
{
    std::int64_t preceding = 0;
    for (const FleetRegion &entry : fleet.regions) {
        if (entry.region == slot.region) {
            return slot.index >= 0 && slot.index < entry.vmSlots ? std::optional(preceding + slot.index) : std::nullopt;
        }
        preceding += entry.vmSlots;
    }
    return std::nullopt;
}

std::int64_t evenPart(std::int64_t total, std::int64_t count, std::int64_t index, std::uint64_t offset)
{
    if (count <= 0 || index < 0 || index >= count) {
        return 0;
    }
    const std::int64_t start = static_cast<std::int64_t>(offset % static_cast<std::uint64_t>(count));
    const std::int64_t rotated = (index - start + count) % count;
    return total / count + (rotated < total % count ? 1 : 0);
}

std::int64_t unitShare(const Place &place, const Fleet &fleet, const VmSlot &slot, const std::string &serverId)
{
    if (!fleetPosition(fleet, slot)) {
        return 0;
    }
    const std::int64_t units = place.slotsPerServer + place.queuePerServer;
    const std::int64_t local = slotsIn(fleet, place.region);
    const std::int64_t remote = fleetSize(fleet) - local;
    std::int64_t localUnits = (units * place.localSharePercent + percent - 1) / percent;
    if (local == 0) {
        localUnits = 0;
    } else if (remote == 0) {
        localUnits = units;
    }
    if (slot.region == place.region) {
        return evenPart(localUnits, local, slot.index, hashOf(serverId, localSeed));
    }
    return evenPart(units - localUnits, remote, remotePosition(fleet, slot, place.region), hashOf(serverId, remoteSeed));
}

} // namespace Wasabistair::Steering
