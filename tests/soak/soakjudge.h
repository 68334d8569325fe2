#pragma once

#include "soakfleet.h"

#include <standins/callerload.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Wasabistair::Soak {

/// One request as its caller saw it.
struct CallerView {
    StandIns::CallerRecord record;
    int vm = 0;
    /// Which process of the VM it was, as far as the caller knows: before and after the request.
    int startsBefore = 0;
    int startsAfter = 0;
    /// Version whose route was asked for; 0: a route that every version has.
    int version = 0;
};

/// What one upstream ran.
struct UpstreamRuns {
    std::string zone;
    std::vector<Run> runs;

    bool operator==(const UpstreamRuns &) const = default;
};

/// What happened in one run.
struct RunRecord {
    /// In the order in which each caller sent them.
    std::vector<std::vector<CallerView>> callers;
    std::vector<Leaving> leavings;
    std::vector<Fault> plan;
    /// Monotonic time of the plan's start.
    std::int64_t startMs = 0;
};

/// Broken promises, one line each. Untimed: at most once, not run, whole and own answers, manifests that never go back. Timed,
/// if @p bounds: leaving upstreams and evacuated zones, from VMs and over ways that were undisturbed.
[[nodiscard]] std::vector<std::string> judgeRun(const RunRecord &record, const std::vector<UpstreamRuns> &upstreams, bool bounds);

} // namespace Wasabistair::Soak
