#pragma once

#include <steering/upstreamhealth.h>
#include <upstreams/upstreamcall.h>

/// What the result of one call to an upstream means for the upstream's health and for further attempts.
namespace Wasabistair::Callers {

/// Whether callers take @p status to mean that the request was not executed.
[[nodiscard]] bool impliesNotRun(int status);

[[nodiscard]] Steering::AttemptOutcome outcomeOf(const Upstreams::CallResult &result);

/// Whether the upstream may have received the request.
[[nodiscard]] bool isDelivered(Steering::AttemptOutcome outcome);

/// Whether it is certain that the upstream did not execute the request.
[[nodiscard]] bool isNotRun(Steering::AttemptOutcome outcome);

} // namespace Wasabistair::Callers
