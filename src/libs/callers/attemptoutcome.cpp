#include "attemptoutcome.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>

#include <algorithm>

namespace Wasabistair::Callers {

using Poco::Net::HTTPResponse;
using Steering::AttemptOutcome;
using Upstreams::CallOutcome;

namespace {

bool hasEncodedBody(const Upstreams::UpstreamAnswer &answer)
{
    return std::any_of(answer.headers.begin(), answer.headers.end(), [](const auto &field) { return Poco::icompare(field.first, "Content-Encoding") == 0; });
}

AttemptOutcome outcomeOfAnswer(const Upstreams::UpstreamAnswer &answer)
{
    // An upstream signs what it ran; the one that has the address now rejects without a signature.
    if (answer.metadata.wrongInstance && (answer.metadata.notExecuted || !answer.metadata.isSigned)) {
        return AttemptOutcome::WrongInstance;
    }
    if (answer.metadata.notExecuted) {
        const auto &load = answer.metadata.load;
        return load && load->running + load->waiting < load->slots ? AttemptOutcome::RejectedWithFreeSlots : AttemptOutcome::RejectedOverloaded;
    }
    const bool success = answer.status >= HTTPResponse::HTTP_OK && answer.status < HTTPResponse::HTTP_MULTIPLE_CHOICES;
    if (hasEncodedBody(answer) || (success && !answer.metadata.isSigned)) {
        return AttemptOutcome::Broken;
    }
    // Callers would take such a status for a promise that the upstream didn't make.
    const bool failed = answer.status >= HTTPResponse::HTTP_INTERNAL_SERVER_ERROR || impliesNotRun(answer.status);
    return failed ? AttemptOutcome::Failed : AttemptOutcome::Answered;
}

} // namespace

bool impliesNotRun(int status)
{
    return status == HTTPResponse::HTTP_TOO_MANY_REQUESTS || status == HTTPResponse::HTTP_SERVICE_UNAVAILABLE || status == HTTPResponse::HTTP_REQUEST_TIMEOUT
        || status == HTTPResponse::HTTP_MISDIRECTED_REQUEST;
}

AttemptOutcome outcomeOf(const Upstreams::CallResult &result)
{
    switch (result.end) {
    case CallOutcome::Answered:
        return outcomeOfAnswer(result.answer);
    case CallOutcome::ConnectionRefused:
        return AttemptOutcome::NoConnection;
    case CallOutcome::ConnectionTimedOut:
        return AttemptOutcome::ConnectTimeout;
    case CallOutcome::Broken:
        // The upstream may have closed the idle connection at that moment, which says nothing about its health.
        return result.reusedConnection && !result.answerStarted ? AttemptOutcome::StaleConnection : AttemptOutcome::Broken;
    case CallOutcome::TimedOut:
        return AttemptOutcome::Timeout;
    case CallOutcome::NoMemory:
        return AttemptOutcome::Discarded;
    case CallOutcome::CallerDisconnected:
        return AttemptOutcome::Abandoned;
    case CallOutcome::Withdrawn:
        return AttemptOutcome::Withdrawn;
    }
    return AttemptOutcome::Broken;
}

bool isDelivered(AttemptOutcome outcome)
{
    return outcome != AttemptOutcome::NoConnection && outcome != AttemptOutcome::ConnectTimeout && outcome != AttemptOutcome::Withdrawn;
}

bool isNotRun(AttemptOutcome outcome)
{
    return !isDelivered(outcome) || outcome == AttemptOutcome::RejectedOverloaded || outcome == AttemptOutcome::RejectedWithFreeSlots
        || outcome == AttemptOutcome::WrongInstance;
}

} // namespace Wasabistair::Callers
