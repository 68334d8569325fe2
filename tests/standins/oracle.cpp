#include "oracle.h"

namespace Wasabistair::StandIns {

OracleFindings compareRecords(const std::vector<CallerRecord> &records, const std::map<std::string, int> &runs)
{
    OracleFindings findings;
    for (const CallerRecord &record : records) {
        const auto found = runs.find(record.id);
        const int ran = found == runs.end() ? 0 : found->second;
        if (record.method == "POST" && ran > 1) {
            findings.ranMoreThanOnce.push_back(record.id);
        }
        if (record.result == CallerResult::NotExecuted && ran > 0) {
            findings.reportedNotRunButRan.push_back(record.id);
        }
        if (record.result == CallerResult::Answered && ran == 0) {
            findings.answeredButNeverRan.push_back(record.id);
        }
        if (record.result == CallerResult::WrongAnswer) {
            findings.wrongAnswers.push_back(record.id);
        }
    }
    return findings;
}

std::string describe(const OracleFindings &findings)
{
    return "ran more than once " + std::to_string(findings.ranMoreThanOnce.size()) + ", reported as not run but ran "
        + std::to_string(findings.reportedNotRunButRan.size()) + ", answered but never ran " + std::to_string(findings.answeredButNeverRan.size())
        + ", wrong answers " + std::to_string(findings.wrongAnswers.size());
}

} // namespace Wasabistair::StandIns
