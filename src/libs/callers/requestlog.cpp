#include "requestlog.h"

#include <base/log.h>

#include <Poco/Net/HTTPResponse.h>

namespace Wasabistair::Callers {

namespace {

using Poco::Net::HTTPResponse;

// One of this many successful requests is logged.
constexpr std::uint64_t successSampleInterval = 64;

} // namespace

void logRequest(const DispatchContext &context, const CallerRequest &request, const Steering::Manifest *manifest, const DispatchProgress &progress,
    const DispatchResult &result)
{
    const bool succeeded = result.end == DispatchOutcome::Answered && result.answer.status < HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    if (succeeded ? progress.sequenceNumber % successSampleInterval != 0 || !context.sampleLog.tryAcquire() : !context.failureLog.tryAcquire()) {
        return;
    }
    const Base::MonotonicMs now = context.clock.monotonic();
    Base::log(Base::LogLevel::Info, "request",
        {{"request", request.metadata.requestId}, {"end", std::string(toString(result.end))},
            {"status", result.end == DispatchOutcome::Answered ? result.answer.status : result.status}, {"route", progress.route}, {"team", progress.team},
            {"service", progress.service}, {"manifest", manifest != nullptr ? manifest->version : 0}, {"upstream", progress.lastUpstream},
            {"outcome", std::string(progress.lastOutcome)}, {"tries", progress.deliveredAttempts}, {"choices", progress.selections},
            {"trail", progress.attempts}, {"loadPercent", static_cast<int>(100 * progress.loadPerSlot)}, {"waitMs", progress.waitedMs},
            {"admission", std::string(Steering::toString(progress.admission))}, {"heldBack", progress.heldBack}, {"pausing", progress.pausing},
            {"tookMs", now - request.arrivedAt}, {"leftMs", progress.deadline - now}, {"retryAfterMs", result.retryAfterMs}});
}

} // namespace Wasabistair::Callers
