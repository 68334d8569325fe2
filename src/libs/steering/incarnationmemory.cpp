#include "incarnationmemory.h"

#include <algorithm>

namespace Wasabistair::Steering {

void IncarnationMemory::recordLeaving(const Incarnation &incarnation, Base::MonotonicMs now)
{
    fateOf(incarnation, now).leaving = true;
}

void IncarnationMemory::recordEnded(const Incarnation &incarnation, Base::MonotonicMs now)
{
    fateOf(incarnation, now).ended = true;
}

void IncarnationMemory::recordAlive(const Incarnation &incarnation)
{
    if (const auto found = fates_.find(incarnation); found != fates_.end()) {
        found->second.ended = false;
    }
}

void IncarnationMemory::recordReplaced(const Incarnation &incarnation, Base::MonotonicMs now)
{
    Fate &fate = fateOf(incarnation, now);
    fate.ended = true;
    fate.replaced = true;
}

void IncarnationMemory::recordLastWrite(const Incarnation &incarnation, std::int64_t sequence, Base::MonotonicMs now)
{
    Fate &fate = fateOf(incarnation, now);
    fate.lastWrite = std::max(fate.lastWrite.value_or(sequence), sequence);
}

const IncarnationMemory::Fate *IncarnationMemory::find(const Incarnation &incarnation, Base::MonotonicMs now) const
{
    const auto found = fates_.find(incarnation);
    return found != fates_.end() && now < found->second.dropAt ? &found->second : nullptr;
}

bool IncarnationMemory::isLeaving(const Incarnation &incarnation, Base::MonotonicMs now) const
{
    const Fate *fate = find(incarnation, now);
    return fate && fate->leaving;
}

bool IncarnationMemory::hasEnded(const Incarnation &incarnation, Base::MonotonicMs now) const
{
    const Fate *fate = find(incarnation, now);
    return fate && fate->ended;
}

bool IncarnationMemory::wasReplaced(const Incarnation &incarnation, Base::MonotonicMs now) const
{
    const Fate *fate = find(incarnation, now);
    return fate && fate->replaced;
}

bool IncarnationMemory::hasLaterWrite(const Incarnation &incarnation, std::int64_t sequence, Base::MonotonicMs now) const
{
    const Fate *fate = find(incarnation, now);
    return fate && fate->lastWrite && sequence < *fate->lastWrite;
}

IncarnationMemory::Fate &IncarnationMemory::fateOf(const Incarnation &incarnation, Base::MonotonicMs now)
{
    if (fates_.size() >= maxIncarnations && !fates_.contains(incarnation)) {
        std::erase_if(fates_, [now](const auto &entry) { return entry.second.dropAt <= now; });
        if (fates_.size() >= maxIncarnations) {
            const auto isEarlier = [](const auto &left, const auto &right) { return left.second.dropAt < right.second.dropAt; };
            fates_.erase(std::min_element(fates_.begin(), fates_.end(), isEarlier));
        }
    }
    Fate &fate = fates_[incarnation];
    fate.dropAt = now + keptMs;
    return fate;
}

} // namespace Wasabistair::Steering
