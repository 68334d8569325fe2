#include "streamcounter.h"

namespace Wasabistair::Callers {

bool StreamCounter::tryAcquire(const std::string &service, std::int64_t limit)
{
    const std::lock_guard lock(mutex_);
    std::int64_t &count = counts_[service];
    if (count >= limit) {
        return false;
    }
    ++count;
    return true;
}

void StreamCounter::release(const std::string &service)
{
    const std::lock_guard lock(mutex_);
    --counts_[service];
}

} // namespace Wasabistair::Callers
