#include "revisiontracker.h"

#include <steering/hash.h>

#include <algorithm>

namespace Wasabistair::Nodes {

namespace {

std::size_t indexOf(StoreChangeKind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

std::string_view toString(StoreChangeKind kind)
{
    static constexpr std::array<std::string_view, changeKindCount> names = {"configuration", "upstreams", "evacuated-zones"};
    return names.at(indexOf(kind));
}

bool isElectedReader(const std::string &zone, const std::string &vm, const std::vector<std::string> &alive)
{
    const std::uint64_t seed = Steering::mixedHash(Steering::hashOf(zone));
    const auto rankOf = [&](const std::string &name) { return Steering::mixedHash(Steering::hashOf(name) ^ seed); };
    const std::uint64_t ownRank = rankOf(vm);
    const auto others = std::count_if(alive.begin(), alive.end(), [&](const std::string &other) { return other != vm; });
    const auto rankedBefore = std::count_if(alive.begin(), alive.end(), [&](const std::string &other) { return other != vm && rankOf(other) < ownRank; });
    return static_cast<std::size_t>(others) < maxVmsAllReading || static_cast<std::size_t>(rankedBefore) < readersPerZone;
}

RevisionTracker::RevisionTracker(Base::MonotonicMs startedAt)
    : startedAt_(startedAt)
{}

StoreEraTracker &RevisionTracker::eras()
{
    return eras_;
}

const StoreEraTracker &RevisionTracker::eras() const
{
    return eras_;
}

void RevisionTracker::enterConfirmedEra() const
{
    const StoreEra confirmed = eras_.confirmed();
    if (confirmed != era_) {
        era_ = confirmed;
        ownRevisions_ = {};
        latestRevisions_ = {};
    }
}

void RevisionTracker::receive(const ChangeRevisions &revisions, bool fromReader, Base::MonotonicMs sentAt, StoreEra era)
{
    const std::lock_guard lock(mutex_);
    enterConfirmedEra();
    eras_.report(era);
    if (era < era_) {
        return;
    }
    for (std::size_t i = 0; era == era_ && i < changeKindCount; ++i) {
        latestRevisions_.at(i) = std::max(latestRevisions_.at(i), revisions.at(i));
    }
    if (fromReader) {
        lastReaderHeartbeatAt_ = std::max(lastReaderHeartbeatAt_.value_or(sentAt), sentAt);
        confirmConfiguration(sentAt);
    }
}

void RevisionTracker::recordContact(Base::MonotonicMs now)
{
    const std::lock_guard lock(mutex_);
    confirmConfiguration(now);
}

void RevisionTracker::confirmConfiguration(Base::MonotonicMs at)
{
    enterConfirmedEra();
    const std::size_t kind = indexOf(StoreChangeKind::Configuration);
    if (ownRevisions_.at(kind) >= latestRevisions_.at(kind)) {
        configurationConfirmedAt_ = std::max(configurationConfirmedAt_.value_or(at), at);
    }
}

std::optional<Base::MonotonicMs> RevisionTracker::configurationConfirmedAt() const
{
    const std::lock_guard lock(mutex_);
    return configurationConfirmedAt_;
}

bool RevisionTracker::isBehind(StoreChangeKind kind) const
{
    const std::lock_guard lock(mutex_);
    enterConfirmedEra();
    return ownRevisions_.at(indexOf(kind)) < latestRevisions_.at(indexOf(kind));
}

void RevisionTracker::recordRead(StoreChangeKind kind, std::uint64_t revision, StoreEra era)
{
    const std::lock_guard lock(mutex_);
    enterConfirmedEra();
    if (era != era_) {
        return;
    }
    ownRevisions_.at(indexOf(kind)) = std::max(ownRevisions_.at(indexOf(kind)), revision);
    latestRevisions_.at(indexOf(kind)) = std::max(latestRevisions_.at(indexOf(kind)), revision);
}

void RevisionTracker::lowerLatestTo(StoreChangeKind kind, std::uint64_t asOf, StoreEra era)
{
    const std::lock_guard lock(mutex_);
    enterConfirmedEra();
    if (era != era_) {
        return;
    }
    latestRevisions_.at(indexOf(kind)) = std::min(latestRevisions_.at(indexOf(kind)), asOf);
}

ChangeRevisions RevisionTracker::ownRevisions() const
{
    return ownState().revisions;
}

EraRevisions RevisionTracker::ownState() const
{
    const std::lock_guard lock(mutex_);
    enterConfirmedEra();
    return {era_, ownRevisions_};
}

std::uint64_t RevisionTracker::latestRevision(StoreChangeKind kind) const
{
    const std::lock_guard lock(mutex_);
    enterConfirmedEra();
    return latestRevisions_.at(indexOf(kind));
}

void RevisionTracker::setElected(bool elected)
{
    const std::lock_guard lock(mutex_);
    elected_ = elected;
}

bool RevisionTracker::isElected() const
{
    const std::lock_guard lock(mutex_);
    return elected_;
}

bool RevisionTracker::mustReadLatest(Base::MonotonicMs now) const
{
    const std::lock_guard lock(mutex_);
    const std::int64_t age = now - startedAt_;
    if (age < (elected_ ? electionGraceMs : startGraceMs)) {
        return false;
    }
    return elected_ || !lastReaderHeartbeatAt_ || now - *lastReaderHeartbeatAt_ > readerTimeoutMs;
}

void RevisionTracker::setReadsLatest(bool readsLatest)
{
    const std::lock_guard lock(mutex_);
    readsLatest_ = readsLatest;
}

bool RevisionTracker::readsLatest() const
{
    const std::lock_guard lock(mutex_);
    return readsLatest_;
}

bool LagMonitor::exceedsTolerance(std::uint64_t copyRevision, std::uint64_t latestRevision, Base::MonotonicMs now)
{
    if (copyRevision >= latestRevision) {
        staleSince_.reset();
        return false;
    }
    if (!staleSince_) {
        staleSince_ = now;
    }
    return now - *staleSince_ >= lagToleranceMs;
}

} // namespace Wasabistair::Nodes
