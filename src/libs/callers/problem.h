#pragma once

#include <string>
#include <string_view>

/// What callers see: look-ups, forwarded requests, refusals.
namespace Wasabistair::Callers {

/// Whether a request that got no answer of its upstream was run.
enum class RunState {
    NotRun,
    Unknown,
};

/// Every refusal that a caller can get from this system itself.
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
    BodyCut,
    DeadlineBeforeSend,
    DeadlineAfterSend,
    UpstreamUnreachable,
    UpstreamRefused,
    UpstreamNoAnswer,
};

/// HTTP side of a refusal.
struct Problem {
    ProblemKind kind;
    RunState run = RunState::NotRun;

    bool operator==(const Problem &) const = default;
};

[[nodiscard]] std::string_view problemType(ProblemKind kind);
[[nodiscard]] int problemStatus(ProblemKind kind);
/// Seconds after which a new try may help; 0 when it will not.
[[nodiscard]] int problemRetryAfterSeconds(ProblemKind kind);
[[nodiscard]] std::string_view toString(RunState run);
/// Body in the format of RFC 9457 (application/problem+json).
[[nodiscard]] std::string problemBody(const Problem &problem);

} // namespace Wasabistair::Callers
