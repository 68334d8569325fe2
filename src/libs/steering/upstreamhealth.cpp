#include "upstreamhealth.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A crashed process restarts within seconds. The first ejection is short because a single refused connection is weak evidence.
constexpr std::int64_t firstBackoffMs = 400;
constexpr std::int64_t maxBackoffMs = 3'000;
// Ejection when another process answers at the address: the upstream won't return there, and the ejection only bridges the time until
// its registration is removed, which a VM that can't reach the store receives late.
constexpr std::int64_t firstWrongInstanceBackoffMs = 4'000;
constexpr std::int64_t maxWrongInstanceBackoffMs = 16'000;
constexpr std::int64_t probationMs = 1'500;
// One broken connection may come from the network; two in a row are attributed to the upstream.
constexpr int connectionFailuresUntilEjected = 2;
constexpr double failureWeight = 0.15;
constexpr int minSamples = 4;
constexpr int maxSamples = 1'000;
constexpr double probationFailureRate = 0.3;
// Three consecutive timeouts raise the rate from 0 above the probation threshold; one to five answers bring it back below.
constexpr double timeoutWeight = 0.2;
constexpr double probationTimeoutRate = 0.4;
// An upstream is put on probation only when it times out this many times as often as the service. The factor still singles out the
// hanging upstreams when a third of them hang, and none in an overload, where requests time out everywhere.
constexpr double serviceTimeoutRateFactor = 1.8;

bool isConnectionFailure(AttemptOutcome outcome)
{
    return outcome == AttemptOutcome::NoConnection || outcome == AttemptOutcome::ConnectTimeout || outcome == AttemptOutcome::Broken;
}

bool isFailure(AttemptOutcome outcome)
{
    return isConnectionFailure(outcome) || outcome == AttemptOutcome::Failed || outcome == AttemptOutcome::RejectedWithFreeSlots;
}

} // namespace

std::string_view toString(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return "answered";
    case AttemptOutcome::Failed:
        return "failed";
    case AttemptOutcome::RejectedWithFreeSlots:
        return "refused-with-room";
    case AttemptOutcome::RejectedOverloaded:
        return "refused-full";
    case AttemptOutcome::NoConnection:
        return "no-connection";
    case AttemptOutcome::ConnectTimeout:
        return "connect-timeout";
    case AttemptOutcome::StaleConnection:
        return "stale-connection";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::Timeout:
        return "silent";
    case AttemptOutcome::WrongInstance:
        return "wrong-instance";
    case AttemptOutcome::Discarded:
        return "discarded";
    case AttemptOutcome::Withdrawn:
        return "withdrawn";
    case AttemptOutcome::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

std::string_view toString(HealthState healthState)
{
    switch (healthState) {
    case HealthState::Healthy:
        return "sound";
    case HealthState::Probation:
        return "probation";
    case HealthState::Ejected:
        return "suspended";
    }
    return "unknown";
}

UpstreamHealth afterAttempt(UpstreamHealth health, AttemptOutcome outcome, std::int64_t nowMs)
{
    if (outcome == AttemptOutcome::Abandoned || outcome == AttemptOutcome::Withdrawn || outcome == AttemptOutcome::Discarded
        || outcome == AttemptOutcome::RejectedOverloaded || outcome == AttemptOutcome::StaleConnection) {
        return health;
    }
    health.timeoutRate = nextTimeoutRate(health.timeoutRate, outcome == AttemptOutcome::Timeout, timeoutWeight);
    if (outcome == AttemptOutcome::Timeout) {
        return health;
    }
    const double newest = isFailure(outcome) ? 1.0 : 0.0;
    health.samples = std::min(health.samples + 1, maxSamples);
    const double weight = std::max(failureWeight, 1.0 / health.samples);
    health.failureRate += weight * (newest - health.failureRate);
    if (!isConnectionFailure(outcome) && outcome != AttemptOutcome::WrongInstance) {
        health.consecutiveConnectionFailures = 0;
        health.backoffMs = outcome == AttemptOutcome::Answered ? 0 : health.backoffMs;
        return health;
    }
    ++health.consecutiveConnectionFailures;
    const bool certain = outcome == AttemptOutcome::NoConnection || outcome == AttemptOutcome::WrongInstance;
    if ((certain || health.consecutiveConnectionFailures >= connectionFailuresUntilEjected) && nowMs >= health.ejectedUntilMs) {
        const bool wrongInstance = outcome == AttemptOutcome::WrongInstance;
        health.backoffMs = wrongInstance ? std::clamp(health.backoffMs * 2, firstWrongInstanceBackoffMs, maxWrongInstanceBackoffMs)
                                         : std::clamp(health.backoffMs * 2, firstBackoffMs, maxBackoffMs);
        health.ejectedUntilMs = nowMs + health.backoffMs;
        health.probationUntilMs = health.ejectedUntilMs + probationMs;
    }
    return health;
}

double nextTimeoutRate(double rate, bool timedOut, double weight)
{
    return rate + weight * ((timedOut ? 1.0 : 0.0) - rate);
}

HealthState healthStateAt(const UpstreamHealth &health, double serviceTimeoutRate, std::int64_t nowMs)
{
    if (nowMs < health.ejectedUntilMs) {
        return HealthState::Ejected;
    }
    const bool failing = health.samples >= minSamples && health.failureRate > probationFailureRate;
    const bool timingOut = health.timeoutRate > std::max(probationTimeoutRate, serviceTimeoutRateFactor * serviceTimeoutRate);
    return nowMs < health.probationUntilMs || failing || timingOut || health.consecutiveConnectionFailures > 0 ? HealthState::Probation : HealthState::Healthy;
}

} // namespace Wasabistair::Steering
