#pragma once

#include "soakfleet.h"

#include <standins/callerload.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Wasabistair::Soak {

/// One request as its caller observed it.
struct CallerView {
    StandIns::CallerRecord record;
    int vm = 0;
    /// Number of process starts of the VM before and after the request. If they differ, the process that served it is unknown.
    int startsBefore = 0;
    int startsAfter = 0;
    /// Monotonic times.
    std::int64_t sentMs = 0;
    std::int64_t answeredMs = 0;
    /// Manifest version that introduced the requested route; 0 for a route that every version has.
    int version = 0;
};

/// Requests that one upstream received and executed.
struct UpstreamExecutions {
    std::string zone;
    std::vector<Execution> executions;
    std::vector<Arrival> arrivals;

    bool operator==(const UpstreamExecutions &) const = default;
};

/// Requests, faults and drains of one soak run.
struct SoakRun {
    /// Per caller, in the order of sending.
    std::vector<std::vector<CallerView>> callers;
    std::vector<DrainPeriod> drainPeriods;
    std::vector<Fault> plan;
    /// Monotonic time at which the fault plan starts.
    std::int64_t startMs = 0;
};

/// Returns the violations found, one line each. Always checked: requests execute at most once and never after a rejection before
/// execution, answers are complete and belong to their request, and a VM never returns to an older manifest. With @p bounds also:
/// draining upstreams and evacuated zones get no requests after their time bound, and what upstreams state in their answers is kept
/// (checkStatements()). Requests from VMs, or over network paths, that a
/// fault disturbed are exempt from the bounds.
[[nodiscard]] std::vector<std::string> checkRun(const SoakRun &record, const std::vector<UpstreamExecutions> &upstreams, bool bounds);

} // namespace Wasabistair::Soak
