#include "watchconfirmation.h"

namespace Wasabistair::Nodes {

WatchConfirmation::WatchConfirmation(bool enabled)
    : enabled_(enabled)
{}

void WatchConfirmation::watchSent()
{
    const std::lock_guard lock(mutex_);
    waiting_ = true;
    confirmed_ = false;
    suspect_ = false;
    ++watch_;
}

void WatchConfirmation::watchEnds()
{
    const std::lock_guard lock(mutex_);
    waiting_ = false;
}

WatchNumber WatchConfirmation::unconfirmedWatch() const
{
    const std::lock_guard lock(mutex_);
    return enabled_ && waiting_ && !confirmed_ ? watch_ : 0;
}

bool WatchConfirmation::applyProbe(WatchNumber watch, bool answered)
{
    const std::lock_guard lock(mutex_);
    if (!waiting_ || watch != watch_) {
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
