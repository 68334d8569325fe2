#pragma once

#include "dispatchcontext.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Wasabistair::Callers {

/// How far the dispatch of one request has come; its log entry is made from it.
struct DispatchProgress {
    std::uint64_t sequenceNumber = 0;
    /// Monotonic time at which the final answer is due; 0 until the route is known.
    Base::MonotonicMs deadline = 0;
    std::string route;
    /// Name of the caller's team; empty when none applies or none holds its key.
    std::string team;
    std::string service;
    std::string lastUpstream;
    std::string_view lastOutcome = "none";
    /// All attempts in order, each as "upstream:outcome:milliseconds", separated by commas.
    std::string attempts;
    double loadPerSlot = 0;
    /// Attempts in which the upstream may have received the request; those that failed to connect don't count.
    int deliveredAttempts = 0;
    /// Upstreams selected so far.
    int selections = 0;
    std::int64_t waitedMs = 0;
    /// How the wait for room ended.
    Steering::AdmissionReason admission = Steering::AdmissionReason::None;
    /// How often stated limits kept the request from an upstream.
    int heldBack = 0;
    /// Number of upstreams that were left out of the last selection because they asked for a pause.
    int pausing = 0;
};

/// Logs the end of a request: each that failed and one of several that succeeded, within the rate limits of the context.
/// @p manifest: the configuration that applied to it; null if there was none.
void logRequest(const DispatchContext &context, const CallerRequest &request, const Steering::Manifest *manifest, const DispatchProgress &progress,
    const DispatchResult &result);

} // namespace Wasabistair::Callers
