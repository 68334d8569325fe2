#include "messagedelay.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A receiver that has not read for longer than this may have stood still. It waits for messages for a second at most.
constexpr std::int64_t maxPromptMs = 1'500;
// The difference between the clocks is learned anew after two windows, so that a clock that was set, or runs slower, is followed. Messages
// that waited during a standstill are read within milliseconds and don't fill a window.
constexpr std::int64_t windowMs = 3'000;
constexpr std::size_t minMessages = 3;

} // namespace

void MessageDelay::recordPrompt(std::int64_t differenceMs, std::int64_t readAtMs)
{
    if (current_.messages >= minMessages && readAtMs - current_.beganAtMs >= windowMs) {
        previousMs_ = current_.leastMs;
        current_ = {};
    }
    if (current_.messages == 0) {
        current_ = {differenceMs, readAtMs, 0};
    }
    current_.leastMs = std::min(current_.leastMs, differenceMs);
    ++current_.messages;
}

std::int64_t MessageDelay::record(const MessageTimes &times)
{
    const std::int64_t differenceMs = times.readAtMs - times.sentAtMs;
    const bool isPrompt = times.readAtMs - times.arrivedAfterMs <= maxPromptMs;
    if (!isPrompt && current_.messages == 0) {
        return times.readAtMs - times.arrivedAfterMs;
    }
    if (isPrompt) {
        recordPrompt(differenceMs, times.readAtMs);
    }
    return std::max<std::int64_t>(0, differenceMs - std::min(current_.leastMs, previousMs_.value_or(current_.leastMs)));
}

} // namespace Wasabistair::Steering
