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

bool isConnectionFailure(TryOutcome outcome)
{
    return outcome == TryOutcome::NoConnection || outcome == TryOutcome::ConnectTimeout || outcome == TryOutcome::Broken;
}

bool isFailure(TryOutcome outcome)
{
    return isConnectionFailure(outcome) || outcome == TryOutcome::Failed || outcome == TryOutcome::RefusedWithRoom;
}

} // namespace

std::string_view toString(TryOutcome outcome)
{
    switch (outcome) {
    case TryOutcome::Answered:
        return "answered";
    case TryOutcome::Failed:
        return "failed";
    case TryOutcome::RefusedWithRoom:
        return "refused-with-room";
    case TryOutcome::RefusedFull:
        return "refused-full";
    case TryOutcome::NoConnection:
        return "no-connection";
    case TryOutcome::ConnectTimeout:
        return "connect-timeout";
    case TryOutcome::StaleConnection:
        return "stale-connection";
    case TryOutcome::Broken:
        return "broken";
    case TryOutcome::Silent:
        return "silent";
    case TryOutcome::WrongInstance:
        return "wrong-instance";
    case TryOutcome::Discarded:
        return "discarded";
    case TryOutcome::Abandoned:
        return "abandoned";
    }
    return "unknown";
}

std::string_view toString(Standing standing)
{
    switch (standing) {
    case Standing::Sound:
        return "sound";
    case Standing::Probation:
        return "probation";
    case Standing::Suspended:
        return "suspended";
    }
    return "unknown";
}

UpstreamHealth afterTry(UpstreamHealth health, TryOutcome outcome, std::int64_t nowMs)
{
    if (outcome == TryOutcome::Abandoned || outcome == TryOutcome::Discarded || outcome == TryOutcome::RefusedFull || outcome == TryOutcome::StaleConnection) {
        return health;
    }
    health.silentShare = nextSilentShare(health.silentShare, outcome == TryOutcome::Silent, timeoutWeight);
    if (outcome == TryOutcome::Silent) {
        return health;
    }
    const double newest = isFailure(outcome) ? 1.0 : 0.0;
    health.samples = std::min(health.samples + 1, maxSamples);
    const double weight = std::max(failureWeight, 1.0 / health.samples);
    health.failureShare += weight * (newest - health.failureShare);
    if (!isConnectionFailure(outcome) && outcome != TryOutcome::WrongInstance) {
        health.consecutiveFaults = 0;
        health.backoffMs = outcome == TryOutcome::Answered ? 0 : health.backoffMs;
        return health;
    }
    ++health.consecutiveFaults;
    const bool certain = outcome == TryOutcome::NoConnection || outcome == TryOutcome::WrongInstance;
    if ((certain || health.consecutiveFaults >= connectionFailuresUntilEjected) && nowMs >= health.suspendedUntilMs) {
        const bool wrongInstance = outcome == TryOutcome::WrongInstance;
        health.backoffMs = wrongInstance ? std::clamp(health.backoffMs * 2, firstWrongInstanceBackoffMs, maxWrongInstanceBackoffMs)
                                         : std::clamp(health.backoffMs * 2, firstBackoffMs, maxBackoffMs);
        health.suspendedUntilMs = nowMs + health.backoffMs;
        health.probationUntilMs = health.suspendedUntilMs + probationMs;
    }
    return health;
}

double nextSilentShare(double rate, bool timedOut, double weight)
{
    return rate + weight * ((timedOut ? 1.0 : 0.0) - rate);
}

Standing standingAt(const UpstreamHealth &health, double serviceTimeoutRate, std::int64_t nowMs)
{
    if (nowMs < health.suspendedUntilMs) {
        return Standing::Suspended;
    }
    const bool failing = health.samples >= minSamples && health.failureShare > probationFailureRate;
    const bool timingOut = health.silentShare > std::max(probationTimeoutRate, serviceTimeoutRateFactor * serviceTimeoutRate);
    return nowMs < health.probationUntilMs || failing || timingOut || health.consecutiveFaults > 0 ? Standing::Probation : Standing::Sound;
}

} // namespace Wasabistair::Steering
