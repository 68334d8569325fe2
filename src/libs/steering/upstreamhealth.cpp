#include "upstreamhealth.h"

#include <algorithm>

namespace Wasabistair::Steering {

namespace {

// A crashed process restarts within seconds; the first pause is short since one refused connection proves little.
constexpr std::int64_t firstBackoffMs = 400;
constexpr std::int64_t longestBackoffMs = 3'000;
// Another process answers at its address: it does not come back there, and only the registry's removal is awaited, which
// a VM that is cut off from the store hears late.
constexpr std::int64_t firstReplacedBackoffMs = 4'000;
constexpr std::int64_t longestReplacedBackoffMs = 16'000;
constexpr std::int64_t probationMs = 1'500;
// One broken connection may be the network's; two in a row are the upstream's.
constexpr int faultsUntilSuspended = 2;
constexpr double weightOfNewest = 0.15;
constexpr int samplesUntilTrusted = 4;
constexpr int samplesLimit = 1'000;
constexpr double failureShareOfProbation = 0.3;
// Three deadlines in a row reach the share of probation from nothing; one to five answers undo it.
constexpr double weightOfNewestSilence = 0.2;
constexpr double silentShareOfProbation = 0.4;
// A third of the upstreams may hang and still be told from a crowd, which meets deadlines everywhere.
constexpr double timesServiceSilentShare = 1.8;

bool isFault(TryOutcome outcome)
{
    return outcome == TryOutcome::NoConnection || outcome == TryOutcome::ConnectTimeout || outcome == TryOutcome::Broken;
}

bool isFailure(TryOutcome outcome)
{
    return isFault(outcome) || outcome == TryOutcome::Failed || outcome == TryOutcome::RefusedWithRoom;
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
    health.silentShare = nextSilentShare(health.silentShare, outcome == TryOutcome::Silent, weightOfNewestSilence);
    if (outcome == TryOutcome::Silent) {
        return health;
    }
    const double newest = isFailure(outcome) ? 1.0 : 0.0;
    health.samples = std::min(health.samples + 1, samplesLimit);
    const double weight = std::max(weightOfNewest, 1.0 / health.samples);
    health.failureShare += weight * (newest - health.failureShare);
    if (!isFault(outcome) && outcome != TryOutcome::WrongInstance) {
        health.consecutiveFaults = 0;
        health.backoffMs = outcome == TryOutcome::Answered ? 0 : health.backoffMs;
        return health;
    }
    ++health.consecutiveFaults;
    const bool certain = outcome == TryOutcome::NoConnection || outcome == TryOutcome::WrongInstance;
    if ((certain || health.consecutiveFaults >= faultsUntilSuspended) && nowMs >= health.suspendedUntilMs) {
        const bool replaced = outcome == TryOutcome::WrongInstance;
        health.backoffMs = replaced ? std::clamp(health.backoffMs * 2, firstReplacedBackoffMs, longestReplacedBackoffMs)
                                    : std::clamp(health.backoffMs * 2, firstBackoffMs, longestBackoffMs);
        health.suspendedUntilMs = nowMs + health.backoffMs;
        health.probationUntilMs = health.suspendedUntilMs + probationMs;
    }
    return health;
}

double nextSilentShare(double share, bool silent, double weight)
{
    return share + weight * ((silent ? 1.0 : 0.0) - share);
}

Standing standingAt(const UpstreamHealth &health, double serviceSilentShare, std::int64_t nowMs)
{
    if (nowMs < health.suspendedUntilMs) {
        return Standing::Suspended;
    }
    const bool failing = health.samples >= samplesUntilTrusted && health.failureShare > failureShareOfProbation;
    const bool hanging = health.silentShare > std::max(silentShareOfProbation, timesServiceSilentShare * serviceSilentShare);
    return nowMs < health.probationUntilMs || failing || hanging || health.consecutiveFaults > 0 ? Standing::Probation : Standing::Sound;
}

} // namespace Wasabistair::Steering
