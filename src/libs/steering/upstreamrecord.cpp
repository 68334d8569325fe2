#include "upstreamrecord.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A load report is outdated after about the time that a few requests take.
constexpr double reportLifetimeMs = 1'500;

} // namespace

void UpstreamRecord::beginAttempt()
{
    inFlight_.fetch_add(1, std::memory_order_relaxed);
}

UpstreamRecord::HealthStateChange UpstreamRecord::endAttempt(
    AttemptOutcome outcome, const std::optional<ReportedLoad> &load, double serviceTimeoutRate, std::int64_t nowMs)
{
    recordLoad(outcome, load, nowMs);
    inFlight_.fetch_sub(1, std::memory_order_relaxed);
    const std::lock_guard lock(mutex_);
    HealthStateChange change;
    change.before = Steering::healthStateAt(health_, serviceTimeoutRate, nowMs);
    health_ = afterAttempt(health_, outcome, nowMs);
    suspendedUntilMs_.store(health_.ejectedUntilMs, std::memory_order_relaxed);
    change.after = Steering::healthStateAt(health_, serviceTimeoutRate, nowMs);
    return change;
}

void UpstreamRecord::recordLoad(AttemptOutcome outcome, const std::optional<ReportedLoad> &load, std::int64_t nowMs)
{
    const int own = inFlight_.load(std::memory_order_relaxed);
    if (load) {
        // The report may or may not count the request that it came with; this request has ended and is not subtracted.
        otherVmsLoad_.store(std::max(0, load->running + load->waiting - (own - 1)), std::memory_order_relaxed);
        reportedAtMs_.store(nowMs, std::memory_order_relaxed);
    } else if (outcome == AttemptOutcome::RejectedOverloaded) {
        reportedAtMs_.store(nowMs, std::memory_order_relaxed);
    }
}

int UpstreamRecord::inFlight() const
{
    return inFlight_.load(std::memory_order_relaxed);
}

double UpstreamRecord::loadAt(std::int64_t nowMs, double expectedOtherVmsLoad) const
{
    const auto age = static_cast<double>(nowMs - reportedAtMs_.load(std::memory_order_relaxed));
    const double freshness = std::clamp(1.0 - age / reportLifetimeMs, 0.0, 1.0);
    return inFlight() + freshness * otherVmsLoad_.load(std::memory_order_relaxed) + (1.0 - freshness) * expectedOtherVmsLoad;
}

HealthState UpstreamRecord::healthStateAt(double serviceTimeoutRate, std::int64_t nowMs) const
{
    const std::lock_guard lock(mutex_);
    return Steering::healthStateAt(health_, serviceTimeoutRate, nowMs);
}

bool UpstreamRecord::isEjectedAt(std::int64_t nowMs) const
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
    std::int64_t present = coldUntilMs_.load(std::memory_order_relaxed);
    while (untilMs > present && !coldUntilMs_.compare_exchange_weak(present, untilMs, std::memory_order_relaxed)) {}
}

bool UpstreamRecord::isColdAt(std::int64_t nowMs) const
{
    return nowMs < coldUntilMs_.load(std::memory_order_relaxed);
}

RateLimiter &UpstreamRecord::coldStartLimiter()
{
    return coldGate_;
}

RateLimiter &UpstreamRecord::probationLimiter()
{
    return probationGate_;
}

AnnouncedLimit &UpstreamRecord::announcedLimit()
{
    return announcedLimit_;
}

LeavingNotice &UpstreamRecord::leavingNotice()
{
    return leavingNotice_;
}

RequestedPause &UpstreamRecord::requestedPause()
{
    return requestedPause_;
}

bool UpstreamRecord::hasStatementAt(std::int64_t nowMs) const
{
    return announcedLimit_.requestsPerSecond().has_value() || leavingNotice_.isInForceAt(nowMs) || requestedPause_.isInForceAt(nowMs);
}

} // namespace Wasabistair::Steering
