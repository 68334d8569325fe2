#pragma once

#include "callerload.h"
#include "fleet.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Wasabistair::StandIns {

/// Disagreements between the callers' records and the upstreams' own records.
struct OracleFindings {
    /// Non-idempotent requests that ran more than once.
    std::vector<std::string> doubled;
    /// Requests said not to have been run that ran.
    std::vector<std::string> ranThoughNotRun;
    /// Answered requests that no upstream ran.
    std::vector<std::string> answeredButNeverRan;
    /// Whole answers to somebody else's request.
    std::vector<std::string> wrongAnswers;

    [[nodiscard]] bool clean() const
    {
        return doubled.empty() && ranThoughNotRun.empty() && answeredButNeverRan.empty() && wrongAnswers.empty();
    }
};

/// Compares what callers got with what upstreams ran. Look-ups and the like must not be among @p records.
[[nodiscard]] OracleFindings judge(const std::vector<CallerRecord> &records, const std::map<std::string, int> &runs);
[[nodiscard]] std::string describe(const OracleFindings &findings);

} // namespace Wasabistair::StandIns
