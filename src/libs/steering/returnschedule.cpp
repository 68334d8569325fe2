#include "returnschedule.h"

#include "rejection.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Wasabistair::Steering {

namespace {

constexpr std::int64_t slotMs = 80;
// Callers for whom no time is late enough are spread over the last slots that they honour.
constexpr std::int64_t lastSlots = 3;
// Part of the rate at which returning callers come before new ones of their priority. More would make new ones late in a long shortage.
constexpr double redeemedPart = 0.2;
// Returns that weren't redeemed in this time make room for as many later ones, in s.
constexpr double tokenSeconds = 4;
// A caller may return later than asked by this number of slots.
constexpr std::int64_t lateSlots = 2;
constexpr double msPerSecond = 1000;
// The rate is averaged over about this time, in ms.
constexpr double rateWindowMs = 1'000;
// Callers wait for at most this part of the time that they have left.
constexpr std::int64_t honouredDivisor = 3;
// A caller that returns at once meets the same shortage.
constexpr std::int64_t minReturnMs = 80;
// Part of the rate that is promised to returning callers of each priority level; the rest is left to new requests. Lower levels leave room for
// more urgent callers that are refused later.
constexpr std::array<double, 4> promisedParts = {0.3, 0.2, 0.15, 0.1};

} // namespace

std::size_t ReturnSchedule::levelOf(int priority)
{
    return std::min(static_cast<std::size_t>(std::max(0, priority)), levelCount - 1);
}

ReturnSchedule::Slot &ReturnSchedule::slotAt(std::int64_t number)
{
    Slot &slot = slots_[static_cast<std::size_t>(number) % slotCount];
    if (slot.number != number) {
        slot = {number, {}};
    }
    return slot;
}

double ReturnSchedule::promisedIn(const Slot &slot)
{
    return std::accumulate(slot.promised.begin(), slot.promised.end(), 0.0);
}

void ReturnSchedule::countServed(std::int64_t nowMs)
{
    servedPerSecond_ = servedPerSecond(nowMs) + msPerSecond / rateWindowMs;
    servedAtMs_ = nowMs;
}

double ReturnSchedule::servedPerSecond(std::int64_t nowMs) const
{
    return servedPerSecond_ * std::exp(-static_cast<double>(nowMs - servedAtMs_) / rateWindowMs);
}

std::int64_t ReturnSchedule::promise(const ReturnQuery &query, std::int64_t nowMs)
{
    const std::size_t level = levelOf(query.priority);
    const std::int64_t honoured = std::min(query.leftMs / honouredDivisor, query.leftMs - query.workMs);
    if (honoured < minReturnMs) {
        // The caller can't be served any more, whenever it returns.
        return minReturnMs + static_cast<std::int64_t>(std::clamp(query.jitter, 0.0, 1.0) * slotMs);
    }
    const std::int64_t horizon = std::min<std::int64_t>(maxRetryAfterMs, slotMs * static_cast<std::int64_t>(slotCount - 2));
    const std::int64_t latest = std::clamp(honoured, minReturnMs, horizon);
    const std::int64_t earliest = std::clamp(query.earliestMs, minReturnMs, std::max(minReturnMs, latest - lastSlots * slotMs));
    const double roomPerSlot = promisedParts.at(level) * servedPerSecond(nowMs) * slotMs / msPerSecond;
    const std::int64_t first = (nowMs + earliest) / slotMs + 1;
    const std::int64_t last = std::max(first, (nowMs + latest) / slotMs - 1);
    const auto withRoom = slotWithRoom(first, last, roomPerSlot);
    const std::int64_t chosen = withRoom ? *withRoom : leastFilledSlot(first, last);
    std::uint16_t &promised = slotAt(chosen).promised.at(level);
    promised = static_cast<std::uint16_t>(std::min<int>(promised + 1, UINT16_MAX));
    return chosen * slotMs + static_cast<std::int64_t>(std::clamp(query.jitter, 0.0, 1.0) * (slotMs - 1)) - nowMs;
}

std::optional<std::int64_t> ReturnSchedule::slotWithRoom(std::int64_t first, std::int64_t last, double roomPerSlot)
{
    double promised = 0;
    double room = 0;
    for (std::int64_t number = first; number <= last; ++number) {
        // Rooms of several slots are added up, since a slot of a slow service takes less than one.
        promised += promisedIn(slotAt(number));
        room += roomPerSlot;
        if (promised + 1 <= room) {
            return number;
        }
    }
    return std::nullopt;
}

std::int64_t ReturnSchedule::leastFilledSlot(std::int64_t first, std::int64_t last)
{
    std::int64_t chosen = first;
    double least = HUGE_VAL;
    for (std::int64_t number = first; number <= last; ++number) {
        const double filled = promisedIn(slotAt(number));
        if (filled < least) {
            least = filled;
            chosen = number;
        }
    }
    return chosen;
}

bool ReturnSchedule::redeem(int priority, std::int64_t nowMs)
{
    const double perSecond = redeemedPart * servedPerSecond(nowMs);
    returnTokens_ = std::min(perSecond * tokenSeconds + 1, returnTokens_ + perSecond * static_cast<double>(nowMs - tokensAtMs_) / msPerSecond);
    tokensAtMs_ = nowMs;
    if (returnTokens_ < 1) {
        return false;
    }
    for (std::int64_t number = nowMs / slotMs; number >= nowMs / slotMs - lateSlots; --number) {
        std::uint16_t &promised = slotAt(number).promised.at(levelOf(priority));
        if (promised > 0) {
            --promised;
            returnTokens_ -= 1;
            return true;
        }
    }
    return false;
}

bool ReturnSchedule::expectsMoreUrgent(int priority, std::int64_t nowMs) const
{
    const std::int64_t number = nowMs / slotMs;
    const Slot &slot = slots_[static_cast<std::size_t>(number) % slotCount];
    const auto end = slot.promised.begin() + static_cast<std::ptrdiff_t>(levelOf(priority));
    return slot.number == number && std::any_of(slot.promised.begin(), end, [](std::uint16_t promised) { return promised > 0; });
}

} // namespace Wasabistair::Steering
