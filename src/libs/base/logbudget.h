#pragma once

#include "clock.h"
#include "log.h"

#include <atomic>
#include <cstdint>

namespace Wasabistair::Base {

/// Bounds the lines of one kind of event: a number a second, the rest is only counted. Lock-free.
class LogBudget
{
public:
    LogBudget(const Clock &clock, int linesPerSecond);

    /// True when a line may be written now.
    bool tryTake();
    /// Lines left out since the last call.
    std::uint64_t takeLeftOut();

private:
    const Clock &clock_;
    const int linesPerSecond_;
    std::atomic<std::int64_t> second_{0};
    std::atomic<int> lines_{0};
    std::atomic<std::uint64_t> leftOut_{0};
};

} // namespace Wasabistair::Base
