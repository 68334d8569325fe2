#pragma once

#include "requestmetrics.h"

#include <base/clock.h>
#include <steering/routingsnapshot.h>
#include <upstreams/upstreamcall.h>

#include <string>

namespace Wasabistair::Callers {

/// One attempt whose result may state something about its upstream.
struct EndedAttempt {
    const Steering::RoutingSnapshot &snapshot;
    const Steering::UpstreamSnapshot &upstream;
    const std::string &requestId;
    Base::MonotonicMs begin = 0;
    Base::MonotonicMs end = 0;
};

/// Records what the answer to @p attempt states about its upstream: a limit, a pause that it asks for, that it leaves. Logs each change.
///
/// A pause and leaving count also if the body of the answer broke off. Answers to other requests, and of other upstreams at the address,
/// state nothing.
void recordStatements(const EndedAttempt &attempt, const Upstreams::CallResult &result, RequestMetrics &metrics);

} // namespace Wasabistair::Callers
