#include "soakchecks.h"

#include "soakstatements.h"

#include <standins/oracle.h>

#include <algorithm>
#include <map>

namespace Wasabistair::Soak {

namespace {

using StandIns::CallerRecord;
using StandIns::CallerResult;

// A VM or network path counts as undisturbed this long after the end of a fault, as in the platform's contract.
constexpr std::int64_t stabilityMs = 4'000;
// Allowance for the delay in the stand-ins between the sending of a request and the record of its execution.
constexpr std::int64_t recordingDelayMs = 200;
constexpr int notFound = 404;

/// Derives the result from the HTTP status. The client stand-in sets it from the product's own headers, which the platform's interface lacks.
CallerRecord classifyByStatus(CallerRecord record)
{
    const bool answered = record.result == CallerResult::Answered && record.status != 0;
    const bool rejectedBeforeExecution = record.status == 408 || record.status == 421 || record.status == 429 || record.status == 503;
    if (answered && rejectedBeforeExecution) {
        record.result = CallerResult::NotExecuted;
    } else if (answered && record.status >= 300) {
        record.result = CallerResult::OutcomeUnknown;
    }
    return record;
}

void checkExecutions(const SoakRun &record, const std::map<std::string, int> &executions, std::vector<std::string> &findings)
{
    std::vector<CallerRecord> records;
    for (const auto &caller : record.callers) {
        std::transform(caller.begin(), caller.end(), std::back_inserter(records), [](const CallerView &view) { return classifyByStatus(view.record); });
    }
    const StandIns::OracleFindings oracle = StandIns::compareRecords(records, executions);
    const auto add = [&](const std::vector<std::string> &ids, const std::string &what) {
        std::transform(ids.begin(), ids.end(), std::back_inserter(findings), [&](const std::string &id) { return what + ": " + id; });
    };
    add(oracle.ranMoreThanOnce, "ran twice");
    add(oracle.reportedNotRunButRan, "ran though refused as not run");
    add(oracle.answeredButNeverRan, "answered but never ran");
    add(oracle.wrongAnswers, "answer of another request");
}

void checkManifestVersions(const SoakRun &record, std::vector<std::string> &findings)
{
    for (const auto &caller : record.callers) {
        // Newest manifest version that one process of the caller's VM has served.
        int process = 0;
        int newestSeen = 0;
        for (const CallerView &view : caller) {
            if (view.startsBefore != view.startsAfter || view.version == 0) {
                continue;
            }
            newestSeen = view.startsBefore == process ? newestSeen : 0;
            process = view.startsBefore;
            if (view.record.status == notFound && view.version <= newestSeen) {
                findings.push_back(
                    "manifest went back: vm-" + std::to_string(view.vm) + " knew version " + std::to_string(newestSeen) + ", request " + view.record.id);
            }
            if (view.record.status == 200) {
                newestSeen = std::max(newestSeen, view.version);
            }
        }
    }
}

bool affectsStore(const Fault &fault)
{
    return scopeOf(fault.kind) == FaultScope::Store;
}

/// A reload does not count: it is planned work, during which the bounds hold too.
bool affectsVm(const Fault &fault, int vm)
{
    const FaultScope scope = scopeOf(fault.kind);
    const bool ofOneVm = scope == FaultScope::StorePath || (scope == FaultScope::Vm && fault.kind != FaultKind::VmReloaded);
    return affectsStore(fault) || (ofOneVm && fault.target == vm);
}

bool affectsUpstream(const Fault &fault, int upstream)
{
    return scopeOf(fault.kind) == FaultScope::UpstreamPath && fault.target == upstream;
}

/// Returns whether a fault for which @p affects returns true is active at @p atMs, or ended at most stabilityMs before.
template<typename Predicate>
bool isDisturbed(const SoakRun &record, std::int64_t atMs, const Predicate &affects)
{
    return std::any_of(record.plan.begin(), record.plan.end(), [&](const Fault &fault) {
        const std::int64_t begin = record.startMs + fault.atMs;
        return begin <= atMs && atMs <= begin + fault.durationMs + stabilityMs && affects(fault);
    });
}

void checkDrains(const SoakRun &record, const std::vector<UpstreamExecutions> &upstreams, std::vector<std::string> &findings)
{
    std::map<std::string, const CallerView *> views;
    for (const auto &caller : record.callers) {
        for (const CallerView &view : caller) {
            views[view.record.id] = &view;
        }
    }
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        for (const Execution &execution : upstreams[i].executions) {
            const auto view = views.find(execution.requestId);
            for (const DrainPeriod &period : record.drainPeriods) {
                const bool matches = period.upstream == execution.upstream || (!period.zone.empty() && period.zone == upstreams[i].zone);
                const bool late
                    = execution.startMs > period.fromMs + period.boundMs + recordingDelayMs && (period.untilMs == 0 || execution.startMs < period.untilMs);
                if (!matches || !late || view == views.end() || isDisturbed(record, period.fromMs, affectsStore)
                    || isDisturbed(record, execution.startMs,
                        [&](const Fault &fault) { return affectsVm(fault, view->second->vm) || affectsUpstream(fault, static_cast<int>(i)); })) {
                    continue;
                }
                findings.push_back((period.zone.empty() ? "leaving upstream " : "evacuated zone's upstream ") + execution.upstream + " got "
                    + execution.requestId + " " + std::to_string(execution.startMs - period.fromMs) + " ms after it was told");
            }
        }
    }
}

} // namespace

std::vector<std::string> checkRun(const SoakRun &record, const std::vector<UpstreamExecutions> &upstreams, bool bounds)
{
    std::map<std::string, int> executions;
    for (const auto &upstream : upstreams) {
        for (const Execution &execution : upstream.executions) {
            ++executions[execution.requestId];
        }
    }
    std::vector<std::string> findings;
    checkExecutions(record, executions, findings);
    checkManifestVersions(record, findings);
    if (bounds) {
        checkDrains(record, upstreams, findings);
        checkStatements(record, upstreams, findings);
    }
    return findings;
}

} // namespace Wasabistair::Soak
