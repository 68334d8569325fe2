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

/// Owner of one VM slot.
struct SlotOwner {
    std::string vm;
    std::uint64_t incarnation = 0;
    /// Rises each time the owner takes the slot into use again after it had to stop using it.
    std::uint64_t confirmations = 0;

    auto operator<=>(const SlotOwner &) const = default;
};

using SlotOwners = std::map<std::int64_t, SlotOwner>;

/// Claims one of a region's VM slots through a conditional update of one object per region, and decides
/// from moment to moment whether the claim may still be used.
///
/// A slot is taken from another owner only after the platform's list has been without that VM for
/// goneHoldMs, seen again and again, and the owner's entry has not changed meanwhile. An owner stops using its slot earlier than that in every case in which
/// this may happen: its own process was paused for pauseLimitMs, the newest list is without it, or it has heard neither platform nor peers for contactLimitMs.
class SlotClaim
{
public:
    static constexpr Base::MonotonicMs goneHoldMs = 30'000;
    static constexpr Base::MonotonicMs pauseLimitMs = 5'000;
    static constexpr Base::MonotonicMs contactLimitMs = 20'000;
    /// A VM that restarts under its own id waits this long before it uses the slot again: an earlier
    /// process under that id may be paused, and stops believing after pauseLimitMs.
    static constexpr Base::MonotonicMs restartHoldMs = pauseLimitMs + 1'000;
    /// Lists seen farther apart than this do not show that a VM was gone all the time between.
    static constexpr Base::MonotonicMs observationGapMs = 3'000;

    SlotClaim(ObjectStore &store, const Base::Clock &clock, std::string region, std::string vm, std::uint64_t incarnation);

    /// Claims or verifies a slot; @p vmSlots is the declared number of the region. Blocks.
    /// Returns true when the claim was confirmed by the platform.
    bool refresh(const VmList &list, std::int64_t vmSlots);
    /// Call at least every second; notices pauses of the process.
    void tick();
    /// A list arrived from the platform or a peer.
    void observeList(const VmList &list);
    /// The platform or any peer was heard.
    void observeContact();
    /// Number of other entry VMs listed in this region; with none, nobody can take the slot.
    void setRivals(std::size_t count);

    /// The slot, if it may be used now. Lock-free enough for the request path: one mutex, held briefly.
    [[nodiscard]] std::optional<Steering::VmSlot> usable() const;
    [[nodiscard]] Base::MonotonicMs gainHoldUntil() const;
    /// Gives the slot up for good; for a VM that leaves.
    void release();

private:
    std::optional<std::int64_t> choose(const SlotOwners &owners, const VmList &list, std::int64_t vmSlots);
    bool isGone(const SlotOwner &owner, const VmList &list);
    [[nodiscard]] bool mustConfirm() const;
    /// True when a later process under the same id owns a slot: this one was paused and replaced.
    [[nodiscard]] bool isSuperseded(const SlotOwners &owners) const;
    bool confirm(std::int64_t index, bool restarted);
    [[nodiscard]] bool isIsolated(Base::MonotonicMs now) const;

    ObjectStore &store_;
    const Base::Clock &clock_;
    const std::string region_;
    const std::string key_;
    const SlotOwner self_;

    // Since when the list was seen without an owner; used by refresh() only.
    std::map<SlotOwner, Base::MonotonicMs> goneSince_;
    Base::MonotonicMs lastObservation_ = 0;

    mutable std::mutex mutex_;
    std::optional<std::int64_t> index_;
    bool confirmed_ = false;
    Base::MonotonicMs lastTick_ = 0;
    Base::MonotonicMs lastContact_ = 0;
    Base::MonotonicMs gainHoldUntil_ = 0;
    std::size_t rivals_ = 0;
    Version listVersion_ = noVersion;
};

[[nodiscard]] std::string encodeSlots(const SlotOwners &owners);
[[nodiscard]] std::optional<SlotOwners> decodeSlots(const std::string &bytes);

} // namespace Wasabistair::Platform
