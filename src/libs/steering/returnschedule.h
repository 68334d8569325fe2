#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Wasabistair::Steering {

/// A refused request whose caller may return.
struct ReturnQuery {
    /// 0 is the most urgent.
    int priority = 0;
    /// Time that the caller has left, in ms.
    std::int64_t leftMs = 0;
    /// Time that its request is expected to take, in ms.
    std::int64_t workMs = 0;
    /// From 0 to 1; selects a point within a slot.
    double jitter = 0;
    /// No room is expected earlier than this, in ms from now.
    std::int64_t earliestMs = 0;

    auto operator<=>(const ReturnQuery &) const = default;
};

/// Times at which refused callers of one service were asked to return to this VM. Each slot of time takes as many as this VM can send in it,
/// by the rate at which it did so lately; urgent callers get earlier slots. Bounded memory. Not thread-safe.
class ReturnSchedule
{
public:
    /// Counts a request that was sent to an upstream.
    void countServed(std::int64_t nowMs);
    /// Time after which the caller should return, in ms. Promises it a place, if there will be room within the time that it honours.
    [[nodiscard]] std::int64_t promise(const ReturnQuery &query, std::int64_t nowMs);
    /// Whether a caller of @p priority was asked to return at about @p nowMs, and the part of the room that is kept for returning callers isn't
    /// used up. Takes the promise off the schedule.
    [[nodiscard]] bool redeem(int priority, std::int64_t nowMs);
    /// Whether callers more urgent than @p priority are expected to return at about @p nowMs.
    [[nodiscard]] bool expectsMoreUrgent(int priority, std::int64_t nowMs) const;
    /// Requests per second that this VM sent lately.
    [[nodiscard]] double servedPerSecond(std::int64_t nowMs) const;

private:
    static constexpr std::size_t slotCount = 128;
    static constexpr std::size_t levelCount = 4;

    struct Slot {
        /// Number of the slot since the start of the clock.
        std::int64_t number = -1;
        /// Promised returns by priority; the last level takes all lower ones.
        std::array<std::uint16_t, levelCount> promised{};
    };

    [[nodiscard]] static std::size_t levelOf(int priority);
    [[nodiscard]] Slot &slotAt(std::int64_t number);
    /// Promised returns in the slot, of all levels.
    [[nodiscard]] static double promisedIn(const Slot &slot);
    /// The first slot from @p first to @p last in which there is room for one more at @p roomPerSlot; nothing if there is none.
    [[nodiscard]] std::optional<std::int64_t> slotWithRoom(std::int64_t first, std::int64_t last, double roomPerSlot);
    /// The slot from @p first to @p last to which the fewest callers return.
    [[nodiscard]] std::int64_t leastFilledSlot(std::int64_t first, std::int64_t last);

    std::array<Slot, slotCount> slots_{};
    /// Returning callers for whom there is room now.
    double returnTokens_ = 0;
    std::int64_t tokensAtMs_ = 0;
    double servedPerSecond_ = 0;
    std::int64_t servedAtMs_ = 0;
};

} // namespace Wasabistair::Steering
