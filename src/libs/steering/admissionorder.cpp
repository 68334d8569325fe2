#include "admissionorder.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A late request waits for half of the time in which it can still be sent. The other half is left to another attempt of its caller.
constexpr std::int64_t lateWaitDivisor = 2;
// Part of the time between work and objective that a request may spend in the queue of an upstream, which serves in order of arrival.
constexpr double upstreamSlackPart = 0.4;
// Keeps the slots busy although loads of upstreams are only estimates.
constexpr double minQueueableLoad = 1.2;
constexpr double maxQueueableLoad = 3.4;

} // namespace

std::optional<AdmissionClaim> claimOf(const AdmissionNeed &need, std::int64_t nowMs)
{
    if (nowMs + need.work.leastMs >= need.deadlineAtMs) {
        return std::nullopt;
    }
    AdmissionClaim claim{need.priority, need.underserved, need.promised, 0, need.deadlineAtMs - need.work.usualMs, 0};
    claim.objectiveStartMs = need.objectiveMs > 0 ? need.arrivedAtMs + need.objectiveMs - need.work.usualMs : claim.deadlineStartMs;
    claim.objectiveStartMs = std::min(claim.objectiveStartMs, claim.deadlineStartMs);
    const std::int64_t lateFrom = std::max(nowMs, claim.objectiveStartMs);
    // A caller that returned is unlikely to come a third time.
    const std::int64_t divisor = need.promised ? 1 : lateWaitDivisor;
    claim.waitUntilMs = lateFrom + std::max<std::int64_t>(0, need.deadlineAtMs - need.work.leastMs - lateFrom) / divisor;
    return claim;
}

double queueableLoad(const AdmissionNeed &need)
{
    if (need.objectiveMs <= 0 || need.work.unqueuedMs <= 0) {
        return maxQueueableLoad;
    }
    const double slackMs = static_cast<double>(need.objectiveMs - need.work.unqueuedMs);
    return std::clamp(1 + upstreamSlackPart * slackMs / static_cast<double>(need.work.unqueuedMs), minQueueableLoad, maxQueueableLoad);
}

AdmissionOrder::AdmissionOrder(std::size_t capacity)
    : capacity_(capacity)
{}

AdmissionOrder::Rank AdmissionOrder::rankOf(const AdmissionClaim &claim, std::int64_t nowMs, Id id)
{
    const Standing standing = claim.promised ? Standing::Promised : nowMs > claim.objectiveStartMs ? Standing::Late : Standing::InTime;
    return {!claim.underserved, claim.priority, standing, standing == Standing::InTime ? claim.objectiveStartMs : claim.deadlineStartMs, id};
}

std::int64_t AdmissionOrder::nextChangeOf(const AdmissionClaim &claim, std::int64_t nowMs)
{
    return nowMs > claim.objectiveStartMs ? claim.waitUntilMs : std::min(claim.objectiveStartMs + 1, claim.waitUntilMs);
}

AdmissionOrder::Insertion AdmissionOrder::insert(const AdmissionClaim &claim, std::int64_t nowMs)
{
    Insertion insertion;
    const Id id = ++lastId_;
    const Rank rank = rankOf(claim, nowMs, id);
    if (entries_.size() >= capacity_) {
        if (ranks_.empty() || *ranks_.rbegin() < rank) {
            return insertion;
        }
        insertion.displaced = std::get<Id>(*ranks_.rbegin());
        erase(*insertion.displaced);
    }
    const Entry entry{claim, rank, nextChangeOf(claim, nowMs), pass_};
    entries_.emplace(id, entry);
    ranks_.insert(rank);
    changes_.emplace(entry.nextChangeMs, id);
    insertion.id = id;
    return insertion;
}

void AdmissionOrder::erase(Id id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return;
    }
    ranks_.erase(found->second.rank);
    changes_.erase({found->second.nextChangeMs, id});
    entries_.erase(found);
}

std::vector<AdmissionOrder::Id> AdmissionOrder::advance(std::int64_t nowMs)
{
    std::vector<Id> ended;
    while (!changes_.empty() && changes_.begin()->first <= nowMs) {
        const Id id = changes_.begin()->second;
        Entry &entry = entries_.at(id);
        if (entry.claim.waitUntilMs <= nowMs) {
            ended.push_back(id);
            erase(id);
            continue;
        }
        changes_.erase(changes_.begin());
        ranks_.erase(entry.rank);
        entry.rank = rankOf(entry.claim, nowMs, id);
        entry.nextChangeMs = nextChangeOf(entry.claim, nowMs);
        ranks_.insert(entry.rank);
        changes_.emplace(entry.nextChangeMs, id);
    }
    return ended;
}

void AdmissionOrder::beginPass()
{
    ++pass_;
}

std::optional<AdmissionOrder::Id> AdmissionOrder::nextTurn()
{
    std::size_t withoutRoom = 0;
    for (const Rank &rank : ranks_) {
        Entry &entry = entries_.at(std::get<Id>(rank));
        if (entry.triedInPass != pass_) {
            entry.triedInPass = pass_;
            return std::get<Id>(rank);
        }
        // Those that found room have left, so that this one found none.
        if (++withoutRoom >= maxTurnsWithoutRoom) {
            break;
        }
    }
    return std::nullopt;
}

bool AdmissionOrder::hasBefore(const AdmissionClaim &claim, std::int64_t nowMs) const
{
    return !ranks_.empty() && *ranks_.begin() < rankOf(claim, nowMs, lastId_ + 1);
}

bool AdmissionOrder::contains(Id id) const
{
    return entries_.contains(id);
}

std::optional<AdmissionOrder::Id> AdmissionOrder::first() const
{
    return ranks_.empty() ? std::nullopt : std::optional(std::get<Id>(*ranks_.begin()));
}

std::size_t AdmissionOrder::size() const
{
    return entries_.size();
}

} // namespace Wasabistair::Steering
