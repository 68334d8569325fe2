#include "storeera.h"

#include <algorithm>

namespace Wasabistair::Nodes {

EraChange StoreEraTracker::observe(StoreEra era)
{
    const std::lock_guard lock(mutex_);
    if (era == 0 || era == confirmed_) {
        return EraChange::Unchanged;
    }
    if (era < confirmed_) {
        return EraChange::Outdated;
    }
    const bool isFirst = confirmed_ == 0;
    confirmed_ = era;
    restores_ += isFirst ? 0 : 1;
    return isFirst ? EraChange::Learned : EraChange::Restored;
}

void StoreEraTracker::report(StoreEra era)
{
    const std::lock_guard lock(mutex_);
    reported_ = std::max(reported_, era);
}

void StoreEraTracker::disprove(StoreEra era)
{
    const std::lock_guard lock(mutex_);
    reported_ = std::min(reported_, era);
}

StoreEra StoreEraTracker::confirmed() const
{
    const std::lock_guard lock(mutex_);
    return confirmed_;
}

StoreEra StoreEraTracker::newest() const
{
    const std::lock_guard lock(mutex_);
    return std::max(confirmed_, reported_);
}

std::uint64_t StoreEraTracker::restores() const
{
    const std::lock_guard lock(mutex_);
    return restores_;
}

} // namespace Wasabistair::Nodes
