#include "copyprogress.h"

#include <algorithm>

namespace Wasabistair::Nodes {

CopyProgress::CopyProgress(bool startsWithLatest)
    : mustListLatest_(startsWithLatest)
{}

ReadStep CopyProgress::nextStep(std::uint64_t latest) const
{
    const std::lock_guard lock(mutex_);
    if (!listed_) {
        return mustListLatest_ ? ReadStep::ListLatest : ReadStep::List;
    }
    return lagging_ && latest > content_ ? ReadStep::CatchUp : ReadStep::Watch;
}

bool CopyProgress::applyList(std::uint64_t asOf, bool isLatest, StoreEra era)
{
    const std::lock_guard lock(mutex_);
    if (!isLatest && asOf < position_ && era == era_) {
        mustListLatest_ = true;
        return false;
    }
    if (era != era_) {
        lag_ = LagMonitor();
        lagging_ = false;
    }
    era_ = era;
    position_ = asOf;
    content_ = asOf;
    listed_ = true;
    mustListLatest_ = false;
    return true;
}

void CopyProgress::leaveEra(StoreEra newest)
{
    const std::lock_guard lock(mutex_);
    listed_ = listed_ && era_ >= newest;
}

bool CopyProgress::isOfOlderEra(StoreEra newest) const
{
    const std::lock_guard lock(mutex_);
    return listed_ && era_ < newest;
}

void CopyProgress::applyWatch(std::uint64_t asOf, std::uint64_t newestEvent)
{
    const std::lock_guard lock(mutex_);
    position_ = std::max(position_, asOf);
    content_ = std::max(content_, newestEvent);
}

void CopyProgress::applyCatchUp(std::uint64_t asOf, std::uint64_t newestEvent, std::uint64_t latest)
{
    applyWatch(asOf, newestEvent);
    const std::lock_guard lock(mutex_);
    lagging_ = false;
    if (content_ < latest) {
        listed_ = false;
        mustListLatest_ = true;
    }
}

void CopyProgress::invalidate(bool historyGone)
{
    const std::lock_guard lock(mutex_);
    listed_ = false;
    mustListLatest_ = mustListLatest_ || historyGone;
}

bool CopyProgress::updateLag(std::uint64_t latest, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    lagging_ = listed_ && lag_.exceedsTolerance(content_, latest, nowMs);
    return lagging_;
}

bool CopyProgress::isListed() const
{
    const std::lock_guard lock(mutex_);
    return listed_;
}

bool CopyProgress::isBehind(std::uint64_t latest) const
{
    const std::lock_guard lock(mutex_);
    return listed_ && latest > content_;
}

std::uint64_t CopyProgress::position() const
{
    const std::lock_guard lock(mutex_);
    return position_;
}

StoreEra CopyProgress::era() const
{
    const std::lock_guard lock(mutex_);
    return era_;
}

} // namespace Wasabistair::Nodes
