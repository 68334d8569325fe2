#include "watchconfirmation.h"

namespace Wasabistair::Nodes {

WatchConfirmation::WatchConfirmation(std::int64_t afterMs)
    : afterMs_(afterMs)
{}

void WatchConfirmation::watchBegins(std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    waiting_ = true;
    confirmed_ = false;
    suspect_ = false;
    beganMs_ = nowMs;
}

void WatchConfirmation::watchEnds()
{
    const std::lock_guard lock(mutex_);
    waiting_ = false;
}

bool WatchConfirmation::needsProbe(std::int64_t nowMs) const
{
    const std::lock_guard lock(mutex_);
    return waiting_ && !confirmed_ && nowMs - beganMs_ >= afterMs_;
}

bool WatchConfirmation::applyProbe(std::int64_t begunMs, bool answered)
{
    const std::lock_guard lock(mutex_);
    if (!waiting_ || begunMs < beganMs_) {
        return false;
    }
    if (!answered) {
        suspect_ = true;
        return false;
    }
    confirmed_ = !suspect_;
    return suspect_;
}

} // namespace Wasabistair::Nodes
