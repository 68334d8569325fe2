#pragma once

#include <string>
#include <string_view>

/// Interface to callers: look-ups, forwarded requests and rejections.
namespace Wasabistair::Callers {

/// Whether a request without an answer from its upstream may have been executed.
enum class ExecutionState {
    NotExecuted,
    Unknown,
};

/// Reasons for which this system itself answers a request with an error.
enum class ProblemKind {
    MalformedRequest,
    AmbiguousFraming,
    BodyTooLarge,
    HeaderTooLarge,
    NoSuchService,
    NoSuchResource,
    MethodNotAllowed,
    NotReady,
    Draining,
    NoPlace,
    NoHeadroom,
    CallerStalled,
    BodyTruncated,
    DeadlineBeforeSend,
    DeadlineAfterSend,
    UpstreamUnreachable,
    UpstreamRefused,
    UpstreamNoAnswer,
};

/// Content of an error answer to a caller.
struct Problem {
    ProblemKind kind;
    ExecutionState run = ExecutionState::NotExecuted;

    bool operator==(const Problem &) const = default;
};

[[nodiscard]] std::string_view problemType(ProblemKind kind);
[[nodiscard]] int problemStatus(ProblemKind kind);
/// Seconds after which a retry may succeed; 0 when it will not.
[[nodiscard]] int problemRetryAfterSeconds(ProblemKind kind);
[[nodiscard]] std::string_view toString(ExecutionState run);
/// Body of the answer in the format of RFC 9457 (application/problem+json).
[[nodiscard]] std::string problemBody(const Problem &problem);

} // namespace Wasabistair::Callers
