#pragma once

#include "callerload.h"
#include "fleet.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Wasabistair::StandIns {

/// Requests for which the callers' records contradict the upstreams' records, by request id.
struct OracleFindings {
    /// Non-idempotent requests (POST) that ran more than once.
    std::vector<std::string> ranMoreThanOnce;
    /// Requests that ran although the caller was told that they did not run.
    std::vector<std::string> reportedNotRunButRan;
    /// Answered requests that no upstream ran.
    std::vector<std::string> answeredButNeverRan;
    /// Requests that got the complete answer to another request.
    std::vector<std::string> wrongAnswers;

    [[nodiscard]] bool clean() const
    {
        return ranMoreThanOnce.empty() && reportedNotRunButRan.empty() && answeredButNeverRan.empty() && wrongAnswers.empty();
    }
};

/// Compares what callers received with how often upstreams ran each request. @p records must hold only requests for an
/// upstream: look-ups, for example, never run on one and would count as answered without a run.
[[nodiscard]] OracleFindings compareRecords(const std::vector<CallerRecord> &records, const std::map<std::string, int> &runs);
/// Number of findings of each kind, for messages.
[[nodiscard]] std::string describe(const OracleFindings &findings);

} // namespace Wasabistair::StandIns
