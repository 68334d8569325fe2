#include "announcedlimit.h"

#include <algorithm>
#include <cmath>

namespace Wasabistair::Steering {

namespace {

constexpr double msPerSecond = 1000;
// The upstreams' contract counts requests in spans of this length: in each, 1.5 times the limit and 5 requests more are tolerated.
constexpr double windowSeconds = 4;
// Part of that which the sending VMs use: delays that differ between requests make those of adjacent spans arrive in one.
constexpr double usedFactor = 1.25;
constexpr double usedSlack = 2.5;
// Part that is left to the probes of all other VMs.
constexpr double probeFactor = 0.5 / windowSeconds;
constexpr double probeSlack = 1.25;
constexpr double minProbeIntervalMs = 5'000;

} // namespace

LimitShare limitShare(double requestsPerSecond, int fleetSize, int rank)
{
    const double budget = usedFactor * windowSeconds * requestsPerSecond + usedSlack;
    // One half of the budget is for the first request of each sender, the other for their steady rate.
    const int senders = requestsPerSecond > 0 ? static_cast<int>(std::clamp(std::floor(budget / 2), 1.0, std::max(1.0, static_cast<double>(fleetSize)))) : 0;
    if (rank < senders) {
        const double rate = std::min(requestsPerSecond, (budget - senders) / windowSeconds);
        return {static_cast<std::int64_t>(std::ceil(msPerSecond * senders / rate)), 0};
    }
    const double probers = std::max(1, fleetSize - senders);
    const double probesPerWindow = probeFactor * windowSeconds * requestsPerSecond + probeSlack;
    const double interval = std::max(minProbeIntervalMs, msPerSecond * windowSeconds * probers / probesPerWindow);
    const double turn = std::clamp<double>(rank - senders + 1, 1, probers) / probers;
    return {static_cast<std::int64_t>(interval), static_cast<std::int64_t>(interval * turn)};
}

AnnouncedLimit::Change AnnouncedLimit::record(const LimitStatement &statement, bool authentic, std::int64_t startedMs, std::int64_t nowMs)
{
    if (!statement.requestsPerSecond && requestsPerSecond_.load(std::memory_order_relaxed) < 0) {
        return {};
    }
    const std::lock_guard lock(mutex_);
    Change change;
    change.before = requestsPerSecond();
    change.after = change.before;
    if (statement.requestsPerSecond) {
        if (!change.before) {
            firstStatedAtMs_ = nowMs;
            lastAdmittedAtMs_.reset();
        }
        lastStatedAtMs_ = nowMs;
        change.after = statement.requestsPerSecond;
    } else if (authentic && !statement.isUnreadable && startedMs >= lastStatedAtMs_) {
        change.after.reset();
    }
    requestsPerSecond_.store(change.after.value_or(-1), std::memory_order_relaxed);
    return change;
}

std::optional<double> AnnouncedLimit::requestsPerSecond() const
{
    const double value = requestsPerSecond_.load(std::memory_order_relaxed);
    return value < 0 ? std::nullopt : std::optional(value);
}

std::int64_t AnnouncedLimit::admissionTime(const LimitShare &share) const
{
    return lastAdmittedAtMs_ ? *lastAdmittedAtMs_ + share.intervalMs : firstStatedAtMs_ + share.firstAfterMs;
}

bool AnnouncedLimit::tryAcquire(const LimitShare &share, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    if (nowMs < admissionTime(share)) {
        return false;
    }
    lastAdmittedAtMs_ = nowMs;
    return true;
}

std::int64_t AnnouncedLimit::timeUntilAdmission(const LimitShare &share, std::int64_t nowMs) const
{
    const std::lock_guard lock(mutex_);
    return std::max<std::int64_t>(0, admissionTime(share) - nowMs);
}

} // namespace Wasabistair::Steering
