#include "logbudget.h"

namespace Wasabistair::Base {

namespace {

constexpr std::int64_t msPerSecond = 1000;

} // namespace

LogBudget::LogBudget(const Clock &clock, int linesPerSecond)
    : clock_(clock)
    , linesPerSecond_(linesPerSecond)
{}

bool LogBudget::tryTake()
{
    const std::int64_t now = clock_.monotonic() / msPerSecond;
    std::int64_t known = second_.load(std::memory_order_relaxed);
    if (known != now && second_.compare_exchange_strong(known, now, std::memory_order_relaxed)) {
        lines_.store(0, std::memory_order_relaxed);
    }
    if (lines_.fetch_add(1, std::memory_order_relaxed) < linesPerSecond_) {
        return true;
    }
    leftOut_.fetch_add(1, std::memory_order_relaxed);
    return false;
}

std::uint64_t LogBudget::takeLeftOut()
{
    return leftOut_.exchange(0, std::memory_order_relaxed);
}

} // namespace Wasabistair::Base
