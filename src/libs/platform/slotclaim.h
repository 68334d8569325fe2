#pragma once

#include "objectstore.h"

#include <base/clock.h>
#include <steering/unitshare.h>

#include <compare>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace Wasabistair::Platform {

/// Owner of one VM slot, as stored in the region's slots object.
struct SlotOwner {
    std::string vm;
    std::uint64_t incarnation = 0;
    /// Number of times the owner confirmed the slot again after it had to stop using it.
    std::uint64_t confirmations = 0;

    auto operator<=>(const SlotOwner &) const = default;
};

using SlotOwners = std::map<std::int64_t, SlotOwner>;

/// Claims one of a region's VM slots by a conditional update of one object per region, and decides at
/// each use whether the claim is still valid.
///
/// A slot is taken over from another owner only after repeated reads of the platform's list have not
/// contained that VM for takeoverDelayMs, while the owner's entry stayed the same. Whenever this can
/// happen, the owner stops using its slot earlier: when its own process was paused for maxPauseMs, when
/// the newest list does not contain it, or when neither the platform nor a peer has answered or sent
/// anything for isolationTimeoutMs.
class SlotClaim
{
public:
    static constexpr Base::MonotonicMs takeoverDelayMs = 30'000;
    static constexpr Base::MonotonicMs maxPauseMs = 5'000;
    static constexpr Base::MonotonicMs isolationTimeoutMs = 20'000;
    /// A VM that restarts under its own id gains no units for this long: an earlier process under that id
    /// may be paused, and stops using the slot only after maxPauseMs.
    static constexpr Base::MonotonicMs restartDelayMs = maxPauseMs + 1'000;
    /// When two calls of refresh() are further apart than this, a VM missing from both lists may have been
    /// listed in between, so its absence is counted from the start again.
    static constexpr Base::MonotonicMs maxRefreshGapMs = 3'000;

    SlotClaim(ObjectStore &store, const Base::Clock &clock, std::string region, std::string vm, std::uint64_t incarnation);

    /// Claims a slot, or verifies the one it has; @p vmSlots is the region's configured number of slots.
    /// Blocks. Returns true when the platform confirmed the claim.
    bool refresh(const VmList &list, std::int64_t vmSlots);
    /// Detects pauses of the process; must be called at least once per second.
    void tick();
    /// Applies a VM list received from the platform or a peer; lists older than the last one are ignored.
    void applyList(const VmList &list);
    /// Records that the platform answered or that a peer sent something.
    void recordContact();
    /// Sets the number of other entry VMs listed in this region. With none, no VM can take the slot over,
    /// and the isolation timeout does not apply.
    void setOtherEntryVmCount(std::size_t count);

    /// The slot, if it may be used now. Suitable for the request path: holds one mutex briefly.
    [[nodiscard]] std::optional<Steering::VmSlot> usable() const;
    /// Time before which no units are gained; set by a restart under the same id.
    [[nodiscard]] Base::MonotonicMs gainHoldUntil() const;
    /// Releases the slot for good, when the VM leaves.
    void release();

private:
    std::optional<std::int64_t> chooseSlot(const SlotOwners &owners, const VmList &list, std::int64_t vmSlots);
    bool isMissingLongEnough(const SlotOwner &owner, const VmList &list);
    [[nodiscard]] bool mustConfirm() const;
    /// Whether a later process under the same id owns a slot, because this one was paused and replaced.
    [[nodiscard]] bool isSuperseded(const SlotOwners &owners) const;
    bool confirm(std::int64_t index, bool isRestarted);
    [[nodiscard]] bool isIsolated(Base::MonotonicMs now) const;

    ObjectStore &store_;
    const Base::Clock &clock_;
    const std::string region_;
    const std::string key_;
    const SlotOwner self_;

    // For each owner, the time since which no list contained it; used by refresh() only.
    std::map<SlotOwner, Base::MonotonicMs> missingSince_;
    Base::MonotonicMs lastRefresh_ = 0;

    mutable std::mutex mutex_;
    std::optional<std::int64_t> index_;
    bool confirmed_ = false;
    Base::MonotonicMs lastTick_ = 0;
    Base::MonotonicMs lastContact_ = 0;
    Base::MonotonicMs gainHoldUntil_ = 0;
    std::size_t regionPeerCount_ = 0;
    Version listVersion_ = noVersion;
};

[[nodiscard]] std::string encodeSlots(const SlotOwners &owners);
[[nodiscard]] std::optional<SlotOwners> decodeSlots(const std::string &bytes);

} // namespace Wasabistair::Platform
