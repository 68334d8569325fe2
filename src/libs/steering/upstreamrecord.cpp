#include "upstreamrecord.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A report says nothing after about the time that a few requests take.
constexpr double reportLifetimeMs = 1'500;

} // namespace

void UpstreamRecord::beginTry()
{
    inFlight_.fetch_add(1, std::memory_order_relaxed);
}

UpstreamRecord::StandingChange UpstreamRecord::endTry(
    TryOutcome outcome, const std::optional<ReportedLoad> &load, double serviceSilentShare, std::int64_t nowMs)
{
    noteLoad(outcome, load, nowMs);
    inFlight_.fetch_sub(1, std::memory_order_relaxed);
    const std::lock_guard lock(mutex_);
    StandingChange change;
    change.before = Steering::standingAt(health_, serviceSilentShare, nowMs);
    health_ = afterTry(health_, outcome, nowMs);
    suspendedUntilMs_.store(health_.suspendedUntilMs, std::memory_order_relaxed);
    change.after = Steering::standingAt(health_, serviceSilentShare, nowMs);
    return change;
}

void UpstreamRecord::noteLoad(TryOutcome outcome, const std::optional<ReportedLoad> &load, std::int64_t nowMs)
{
    const int own = inFlight_.load(std::memory_order_relaxed);
    if (load) {
        // The report may or may not count the request that it came with; one of the own ones has ended.
        othersLoad_.store(std::max(0, load->running + load->waiting - (own - 1)), std::memory_order_relaxed);
        reportedAtMs_.store(nowMs, std::memory_order_relaxed);
    } else if (outcome == TryOutcome::RefusedFull) {
        reportedAtMs_.store(nowMs, std::memory_order_relaxed);
    }
}

int UpstreamRecord::inFlight() const
{
    return inFlight_.load(std::memory_order_relaxed);
}

double UpstreamRecord::loadAt(std::int64_t nowMs, double expectedOthers) const
{
    const auto age = static_cast<double>(nowMs - reportedAtMs_.load(std::memory_order_relaxed));
    const double fresh = std::clamp(1.0 - age / reportLifetimeMs, 0.0, 1.0);
    return inFlight() + fresh * othersLoad_.load(std::memory_order_relaxed) + (1.0 - fresh) * expectedOthers;
}

Standing UpstreamRecord::standingAt(double serviceSilentShare, std::int64_t nowMs) const
{
    const std::lock_guard lock(mutex_);
    return Steering::standingAt(health_, serviceSilentShare, nowMs);
}

bool UpstreamRecord::isSuspendedAt(std::int64_t nowMs) const
{
    return nowMs < suspendedUntilMs_.load(std::memory_order_relaxed);
}

UpstreamHealth UpstreamRecord::health() const
{
    const std::lock_guard lock(mutex_);
    return health_;
}

void UpstreamRecord::setColdUntil(std::int64_t untilMs)
{
    std::int64_t known = coldUntilMs_.load(std::memory_order_relaxed);
    while (untilMs > known && !coldUntilMs_.compare_exchange_weak(known, untilMs, std::memory_order_relaxed)) {}
}

bool UpstreamRecord::isColdAt(std::int64_t nowMs) const
{
    return nowMs < coldUntilMs_.load(std::memory_order_relaxed);
}

RateGate &UpstreamRecord::coldGate()
{
    return coldGate_;
}

RateGate &UpstreamRecord::probationGate()
{
    return probationGate_;
}

} // namespace Wasabistair::Steering
