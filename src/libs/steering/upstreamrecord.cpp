#include "upstreamrecord.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A load report is outdated after about the time that a few requests take.
constexpr double reportLifetimeMs = 1'500;
// A machine's pace changes several times a second; a figure of this age in ms says nothing about the present.
constexpr double paceLifetimeMs = 600;
// Part for which a new figure counts: it may change before the request has run.
constexpr double newPaceWeight = 0.8;
constexpr int usualPacePercent = 100;
// Running and waiting requests per slot at which an upstream that states its pace turns requests away.
constexpr int fullLoadPerSlot = 4;

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
        if (load->pacePercent) {
            pacePercent_.store(*load->pacePercent, std::memory_order_relaxed);
            paceReportedAtMs_.store(nowMs, std::memory_order_relaxed);
            slots_.store(load->slots, std::memory_order_relaxed);
        }
    } else if (outcome == AttemptOutcome::RejectedOverloaded) {
        if (pacePercent_.load(std::memory_order_relaxed) > 0) {
            const int full = fullLoadPerSlot * slots_.load(std::memory_order_relaxed);
            otherVmsLoad_.store(std::max(0, full - (own - 1)), std::memory_order_relaxed);
        }
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

double UpstreamRecord::pacePercentAt(std::int64_t nowMs) const
{
    const int pace = pacePercent_.load(std::memory_order_relaxed);
    if (pace <= 0) {
        return usualPacePercent;
    }
    const auto age = static_cast<double>(nowMs - paceReportedAtMs_.load(std::memory_order_relaxed));
    return usualPacePercent + (pace - usualPacePercent) * newPaceWeight * std::clamp(1 - age / paceLifetimeMs, 0.0, 1.0);
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
