#include "keycopies.h"

#include "hash.h"

#include <algorithm>
#include <cmath>

namespace Wasabistair::Steering {

namespace {

// After this time without a request of this VM, other keys may have displaced the key at the upstream.
constexpr std::int64_t recentMs = 15'000;
// Copies are taken away from the first rate on and added below the second; between them nothing changes.
// Below both, noisy machines make part of the answers slow.
constexpr double highForgottenRate = 0.3;
constexpr double lowForgottenRate = 0.2;
// New copies cost slow answers, for which a region above this load per slot has no room.
constexpr double maxLoadForGrowth = 0.7;
// Parts of the number of keys at which upstreams forgot: copies are taken away above the first and added below the second.
constexpr double mostPartOfMemory = 0.75;
constexpr double usedPartOfMemory = 0.6;
constexpr double growthPerSecond = 0.05;
constexpr double declinePerSecond = 0.1;
constexpr double msPerSecond = 1'000;
constexpr std::uint64_t copiesSeed = 0x636f70696573ULL;

// The lowest bits of a slot's pair tell whether it is in use, and whether the upstream is in the VM's region.
constexpr std::uint64_t inUseBit = 1;
constexpr std::uint64_t inRegionBit = 2;
constexpr std::uint64_t pairMask = ~(inUseBit | inRegionBit);
constexpr int flagBits = 2;

std::uint64_t pairOf(std::uint64_t keyHash, std::uint64_t upstreamHash)
{
    return mixedHash(keyHash ^ mixedHash(upstreamHash)) & pairMask;
}

} // namespace

void RecentKeys::record(std::uint64_t keyHash, std::uint64_t upstreamHash, bool inRegion, std::int64_t nowMs)
{
    const std::uint64_t pair = pairOf(keyHash, upstreamHash);
    Slot &slot = slots_.at((pair >> flagBits) % slotCount);
    slot.pair.store(pair | inUseBit | (inRegion ? inRegionBit : 0), std::memory_order_relaxed);
    slot.usedAtMs.store(nowMs, std::memory_order_relaxed);
}

bool RecentKeys::contains(std::uint64_t keyHash, std::uint64_t upstreamHash, std::int64_t nowMs) const
{
    const std::uint64_t pair = pairOf(keyHash, upstreamHash);
    const Slot &slot = slots_.at((pair >> flagBits) % slotCount);
    const std::uint64_t present = slot.pair.load(std::memory_order_relaxed);
    return (present & inUseBit) != 0 && (present & pairMask) == pair && nowMs - slot.usedAtMs.load(std::memory_order_relaxed) < recentMs;
}

int RecentKeys::countInRegion(std::int64_t nowMs) const
{
    return static_cast<int>(std::count_if(slots_.begin(), slots_.end(), [&](const Slot &slot) {
        return (slot.pair.load(std::memory_order_relaxed) & inRegionBit) != 0 && nowMs - slot.usedAtMs.load(std::memory_order_relaxed) < recentMs;
    }));
}

KeyCopies nextKeyCopies(KeyCopies copies, const CopyFigures &figures, std::int64_t elapsedMs)
{
    const double seconds = static_cast<double>(elapsedMs) / msPerSecond;
    const bool forgets = figures.forgottenRate > highForgottenRate;
    if (forgets && figures.keysPerUpstream > 0) {
        copies.tooManyKeys = copies.tooManyKeys > 0 ? std::min(copies.tooManyKeys, figures.keysPerUpstream) : figures.keysPerUpstream;
    }
    const bool knowsLimit = copies.tooManyKeys > 0;
    if (forgets || (knowsLimit && figures.keysPerUpstream > mostPartOfMemory * copies.tooManyKeys)) {
        copies.perZone = std::max(fewestCopies, copies.perZone - declinePerSecond * seconds);
    } else if (figures.forgottenRate < lowForgottenRate && figures.loadPerSlot < maxLoadForGrowth
        && (!knowsLimit || figures.keysPerUpstream < usedPartOfMemory * copies.tooManyKeys)) {
        copies.perZone = std::min(mostCopies, copies.perZone + growthPerSecond * seconds);
    }
    return copies;
}

int copiesOfKey(double perZone, std::uint64_t keyHash)
{
    constexpr double scale = 1.0 / 18446744073709551616.0; // 2^-64
    const double point = static_cast<double>(mixedHash(keyHash ^ copiesSeed)) * scale;
    if (perZone < 1) {
        return point < (perZone - fewestCopies) / (1 - fewestCopies) ? 1 : 0;
    }
    const double whole = std::floor(perZone);
    return static_cast<int>(whole) + (point < perZone - whole ? 1 : 0);
}

} // namespace Wasabistair::Steering
