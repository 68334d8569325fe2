#include "upstreamstatements.h"

#include <base/log.h>

#include <optional>

namespace Wasabistair::Callers {

namespace {

std::string limitText(const std::optional<double> &requestsPerSecond)
{
    return requestsPerSecond ? std::to_string(*requestsPerSecond) : "none";
}

bool isAuthentic(const Adapter::AnswerMetadata &metadata)
{
    return metadata.isSigned || metadata.notExecuted;
}

void recordLimit(const EndedAttempt &attempt, const Adapter::AnswerMetadata &metadata, RequestMetrics &metrics)
{
    const auto change = attempt.upstream.record->announcedLimit().record(metadata.limit, isAuthentic(metadata), attempt.begin, attempt.end);
    if (change.before == change.after) {
        return;
    }
    metrics.countStatement(UpstreamStatement::LimitChanged);
    Base::log(Base::LogLevel::Info, "upstream-limit",
        {{"upstream", attempt.upstream.entry.id}, {"service", attempt.upstream.entry.service}, {"before", limitText(change.before)},
            {"after", limitText(change.after)}, {"vms", attempt.snapshot.fleetSize}, {"request", attempt.requestId}});
}

void recordPause(const EndedAttempt &attempt, std::int64_t pauseMs, RequestMetrics &metrics)
{
    metrics.countStatement(UpstreamStatement::PauseRequested);
    const int rank = Steering::rendezvousRank(attempt.snapshot.vms, attempt.upstream.idHash);
    const std::int64_t returnDelay = Steering::returnDelayMs(pauseMs, attempt.snapshot.fleetSize, rank);
    Steering::RequestedPause &pause = attempt.upstream.record->requestedPause();
    if (pause.record(pauseMs, returnDelay, attempt.end)) {
        Base::log(Base::LogLevel::Info, "upstream-pause",
            {{"upstream", attempt.upstream.entry.id}, {"service", attempt.upstream.entry.service}, {"pauseMs", pauseMs},
                {"returnInMs", pause.remainingMs(attempt.end)}, {"request", attempt.requestId}});
    }
}

void recordLeaving(const EndedAttempt &attempt, bool authentic, RequestMetrics &metrics)
{
    metrics.countStatement(UpstreamStatement::Leaving);
    if (attempt.upstream.record->leavingNotice().record(authentic, attempt.end)) {
        Base::log(Base::LogLevel::Info, "upstream-leaving",
            {{"upstream", attempt.upstream.entry.id}, {"service", attempt.upstream.entry.service}, {"authentic", authentic ? "yes" : "no"},
                {"holdsMs", authentic ? std::string("unlimited") : std::to_string(Steering::unsignedLeavingMs)}, {"request", attempt.requestId}});
    }
}

} // namespace

void recordStatements(const EndedAttempt &attempt, const Upstreams::CallResult &result, RequestMetrics &metrics)
{
    const Adapter::AnswerMetadata &metadata = result.answer.metadata;
    const bool isOwnAnswer = metadata.requestId == attempt.requestId && !metadata.wrongInstance;
    if (result.end == Upstreams::CallOutcome::Answered && isOwnAnswer) {
        recordLimit(attempt, metadata, metrics);
    }
    if (isOwnAnswer && metadata.requestedPauseMs) {
        recordPause(attempt, *metadata.requestedPauseMs, metrics);
    }
    if (result.interimStatesLeaving || (isOwnAnswer && metadata.statesLeaving)) {
        recordLeaving(attempt, isOwnAnswer && isAuthentic(metadata), metrics);
    }
}

} // namespace Wasabistair::Callers
