#pragma once

#include "logline.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wasabistair::Operators {

/// Why a request ended as it did, derived from the logs.
enum class RequestCause {
    Served,
    /// The upstream answered with a server error (status 500 or above).
    UpstreamFailed,
    /// The upstream that ran the request was unregistered, refused connections or let them time out.
    UpstreamWentAway,
    /// The answer was truncated, corrupted or not signed, or the connection broke, while the upstream stayed available.
    UpstreamAnswerBroken,
    /// The upstream was slow or hanging: its health state was lowered because of timeouts.
    UpstreamHangs,
    /// The request waited for its upstream until the deadline, and the upstream was busy: by the load logged at that time, or
    /// because other requests waited there as well.
    UpstreamBusy,
    /// The request waited for its upstream until the deadline, and nothing shows that the upstream was busy or hanging.
    UpstreamSilent,
    /// The caller's deadline was shorter than any answered request of this route took.
    TooLittleTime,
    /// Every upstream of the service was full.
    ServiceFull,
    /// The upstreams of the request's affinity key were full, cold, on probation or gone; others had free capacity.
    KeyUpstreamsUnavailable,
    /// Upstreams with free capacity asked for a pause or state a limit.
    UpstreamsHoldBack,
    /// No upstream of the service was registered or reachable.
    NoUpstream,
    /// Every attempted upstream rejected the request.
    UpstreamsRejected,
    /// The VM had no manifest yet.
    NoManifest,
    /// The manifest in force has no such route.
    NoRoute,
    /// The VM was stopping.
    Stopping,
    CallerLeft,
    /// No log contains a line about the request's end.
    NotLogged,
};

[[nodiscard]] std::string_view toString(RequestCause cause);
/// Explanation for operators, in one or two sentences.
[[nodiscard]] std::string_view describe(RequestCause cause);

struct RequestExplanation {
    std::string request;
    RequestCause cause = RequestCause::NotLogged;
    /// Lines about the request's end; several if the caller repeats the request under the same id.
    std::vector<LogLine> ends;
    /// Events of the same VM shortly before and after, about the upstreams, zones and dependencies involved; in order of time.
    std::vector<LogLine> related;

    bool operator==(const RequestExplanation &) const = default;
};

/// What a timeline is about.
enum class SubjectKind {
    Upstream,
    Vm,
    Manifest,
};

struct Subject {
    SubjectKind kind = SubjectKind::Upstream;
    /// Id of the upstream, name of the VM or version of the manifest.
    std::string name;

    bool operator==(const Subject &) const = default;
};

/// Explains @p request from @p lines, which sortedByCorrectedTime() has sorted. The cause is that of the last end.
[[nodiscard]] RequestExplanation explainRequest(const std::vector<LogLine> &lines, const std::string &request);

/// Lines of all VMs about @p subject: its own events and those that other VMs logged about it. For a manifest also the
/// requests for which it had no route. Returns the last @p limit lines; 0 for all.
[[nodiscard]] std::vector<LogLine> timelineOf(const std::vector<LogLine> &lines, const Subject &subject, std::size_t limit);

} // namespace Wasabistair::Operators
