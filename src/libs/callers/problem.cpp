#include "problem.h"

#include <nlohmann/json.hpp>

#include <array>

namespace Wasabistair::Callers {

namespace {

struct ProblemSpec {
    ProblemKind kind;
    std::string_view type;
    int status;
    int retryAfterSeconds;
    std::string_view title;
};

constexpr std::array<ProblemSpec, 18> specs = {{
    {ProblemKind::MalformedRequest, "malformed-request", 400, 0, "The request is malformed."},
    {ProblemKind::AmbiguousFraming, "ambiguous-framing", 400, 0, "The length of the request's body is ambiguous."},
    {ProblemKind::BodyTooLarge, "body-too-large", 413, 0, "The request's body is larger than the service allows."},
    {ProblemKind::HeaderTooLarge, "header-too-large", 431, 0, "The request's header is larger than this VM allows."},
    {ProblemKind::NoSuchService, "no-such-service", 404, 0, "No service matches host and path."},
    {ProblemKind::NoSuchResource, "no-such-resource", 404, 0, "There is nothing at this path."},
    {ProblemKind::MethodNotAllowed, "method-not-allowed", 405, 0, "The method is not supported here."},
    {ProblemKind::NotReady, "not-ready", 503, 1, "This VM is not ready to serve."},
    {ProblemKind::Draining, "draining", 503, 1, "This VM is leaving; use another one of the look-up answer."},
    {ProblemKind::NoPlace, "no-place", 503, 5, "No place of the service can be reached from here."},
    {ProblemKind::NoHeadroom, "no-headroom", 503, 1, "The service has no headroom."},
    {ProblemKind::CallerStalled, "caller-stalled", 408, 0, "The request's body made no progress."},
    {ProblemKind::BodyTruncated, "body-cut", 400, 0, "The request's body ended early."},
    {ProblemKind::DeadlineBeforeSend, "deadline-passed", 504, 1, "The deadline passed before the request was sent."},
    {ProblemKind::DeadlineAfterSend, "deadline-passed", 504, 0, "The deadline passed before the upstream answered."},
    {ProblemKind::UpstreamUnreachable, "upstream-unreachable", 503, 1, "No connection to an upstream could be made."},
    {ProblemKind::UpstreamRefused, "upstream-refused", 503, 1, "The upstream refused the request before running it."},
    {ProblemKind::UpstreamNoAnswer, "upstream-no-answer", 502, 0, "The upstream gave no whole answer."},
}};

const ProblemSpec &specOf(ProblemKind kind)
{
    return specs.at(static_cast<std::size_t>(kind));
}

} // namespace

std::string_view problemType(ProblemKind kind)
{
    return specOf(kind).type;
}

int problemStatus(ProblemKind kind)
{
    return specOf(kind).status;
}

int problemRetryAfterSeconds(ProblemKind kind)
{
    return specOf(kind).retryAfterSeconds;
}

std::string_view toString(ExecutionState run)
{
    return run == ExecutionState::NotExecuted ? "not-run" : "unknown";
}

std::string problemBody(const Problem &problem)
{
    const ProblemSpec &spec = specOf(problem.kind);
    const nlohmann::json json = {{"type", "urn:wasabistair:problem:" + std::string(spec.type)}, {"title", std::string(spec.title)}, {"status", spec.status},
        {"run", std::string(toString(problem.run))}};
    return json.dump();
}

} // namespace Wasabistair::Callers
