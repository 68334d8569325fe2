#pragma once

#include "logline.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Wasabistair::Operators {

/// Why a request ended as it did, as far as the logs tell.
enum class RequestCause {
    Served,
    /// The upstream's own answer says that it failed.
    UpstreamFailed,
    /// The upstream that had the request left the registry, refused connections or no longer took any.
    UpstreamWentAway,
    /// What the upstream sent was no whole answer, or its connection broke, and it is still there.
    UpstreamAnswerBroken,
    /// The upstream was known to be slow or hanging: it was put on probation for silence.
    UpstreamHangs,
    /// It waited for its upstream until its deadline, and the upstream was busy: by its load as known then, or because others
    /// waited there as well.
    UpstreamBusy,
    /// The same, with an upstream that was not busy and not known to hang.
    UpstreamSilent,
    /// The caller gave less time than this route's requests take.
    TooLittleTime,
    /// Every upstream of the service was full.
    ServiceFull,
    /// The upstreams of its key were full, cold, on probation or gone, others had room.
    KeyUpstreamsUnavailable,
    /// No upstream of the service was known or could be reached.
    NoUpstream,
    /// The upstreams that were asked refused it.
    UpstreamsRefused,
    /// The VM had no manifest yet.
    NoManifest,
    /// The manifest in force has no such route.
    NoRoute,
    /// The VM was stopping.
    Stopping,
    CallerLeft,
    /// No log has a line of its end.
    NotLogged,
};

[[nodiscard]] std::string_view toString(RequestCause cause);
/// One sentence for people.
[[nodiscard]] std::string_view describe(RequestCause cause);

struct RequestStory {
    std::string request;
    RequestCause cause = RequestCause::NotLogged;
    /// Its end; a request that a caller repeats under the same id has several.
    std::vector<LogLine> ends;
    /// What its VM believed about the upstreams, zones and dependencies involved, shortly before and after; in order.
    std::vector<LogLine> related;

    bool operator==(const RequestStory &) const = default;
};

/// What a time line is about.
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

/// @p lines in order, as inOrder gives them. The cause is that of the last end.
[[nodiscard]] RequestStory explainRequest(const std::vector<LogLine> &lines, const std::string &request);

/// Lines about @p subject over all VMs: what it did and what others came to believe of it. For a manifest also the requests
/// that manifest refused. At most @p limit lines, the last ones; 0 for all.
[[nodiscard]] std::vector<LogLine> timelineOf(const std::vector<LogLine> &lines, const Subject &subject, std::size_t limit);

} // namespace Wasabistair::Operators
