#include "soakjudge.h"

#include <standins/oracle.h>

#include <algorithm>
#include <map>

namespace Wasabistair::Soak {

namespace {

using StandIns::CallerRecord;
using StandIns::CallerResult;

// A VM or way counts as undisturbed this long after a fault's end, as in the platform's contract, in ms.
constexpr std::int64_t stabilityMs = 4'000;
// Steps of the stand-ins between the sending of a request and the note of its run, in ms.
constexpr std::int64_t noteMs = 200;
constexpr int notFound = 404;

/// The client stand-in knows the product's own interface; on the platform the status tells.
CallerRecord onThePlatform(CallerRecord record)
{
    const bool answered = record.result == CallerResult::Answered && record.status != 0;
    const bool promise = record.status == 408 || record.status == 421 || record.status == 429 || record.status == 503;
    if (answered && promise) {
        record.result = CallerResult::NotRun;
    } else if (answered && record.status >= 300) {
        record.result = CallerResult::Unknown;
    }
    return record;
}

void judgeExecutions(const RunRecord &record, const std::map<std::string, int> &runs, std::vector<std::string> &findings)
{
    std::vector<CallerRecord> records;
    for (const auto &caller : record.callers) {
        std::transform(caller.begin(), caller.end(), std::back_inserter(records), [](const CallerView &view) { return onThePlatform(view.record); });
    }
    const StandIns::OracleFindings oracle = StandIns::judge(records, runs);
    const auto add = [&](const std::vector<std::string> &ids, const std::string &what) {
        std::transform(ids.begin(), ids.end(), std::back_inserter(findings), [&](const std::string &id) { return what + ": " + id; });
    };
    add(oracle.doubled, "ran twice");
    add(oracle.ranThoughNotRun, "ran though refused as not run");
    add(oracle.answeredButNeverRan, "answered but never ran");
    add(oracle.wrongAnswers, "answer of another request");
}

void judgeManifests(const RunRecord &record, std::vector<std::string> &findings)
{
    for (const auto &caller : record.callers) {
        // Newest version that one process of the caller's VM has shown.
        int process = 0;
        int shown = 0;
        for (const CallerView &view : caller) {
            if (view.startsBefore != view.startsAfter || view.version == 0) {
                continue;
            }
            shown = view.startsBefore == process ? shown : 0;
            process = view.startsBefore;
            if (view.record.status == notFound && view.version <= shown) {
                findings.push_back(
                    "manifest went back: vm-" + std::to_string(view.vm) + " knew version " + std::to_string(shown) + ", request " + view.record.id);
            }
            if (view.record.status == 200) {
                shown = std::max(shown, view.version);
            }
        }
    }
}

bool isOfStore(const Fault &fault)
{
    return partOf(fault.kind) == FaultPart::Store;
}

/// A reload is planned work and excuses nothing.
bool concernsVm(const Fault &fault, int vm)
{
    const FaultPart part = partOf(fault.kind);
    const bool ofOneVm = part == FaultPart::WayToStore || (part == FaultPart::Vm && fault.kind != FaultKind::VmReloaded);
    return isOfStore(fault) || (ofOneVm && fault.target == vm);
}

bool concernsUpstream(const Fault &fault, int upstream)
{
    return partOf(fault.kind) == FaultPart::WayToUpstream && fault.target == upstream;
}

/// Whether a fault that @p concerns holds at @p atMs, or was over only shortly before.
template<typename Concerns>
bool isDisturbed(const RunRecord &record, std::int64_t atMs, const Concerns &concerns)
{
    return std::any_of(record.plan.begin(), record.plan.end(), [&](const Fault &fault) {
        const std::int64_t begin = record.startMs + fault.atMs;
        return begin <= atMs && atMs <= begin + fault.forMs + stabilityMs && concerns(fault);
    });
}

void judgeLeavings(const RunRecord &record, const std::vector<UpstreamRuns> &upstreams, std::vector<std::string> &findings)
{
    std::map<std::string, const CallerView *> views;
    for (const auto &caller : record.callers) {
        for (const CallerView &view : caller) {
            views[view.record.id] = &view;
        }
    }
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        for (const Run &run : upstreams[i].runs) {
            const auto view = views.find(run.request);
            for (const Leaving &leaving : record.leavings) {
                const bool concerned = leaving.upstream == run.upstream || (!leaving.zone.empty() && leaving.zone == upstreams[i].zone);
                const bool late = run.startMs > leaving.fromMs + leaving.boundMs + noteMs && (leaving.untilMs == 0 || run.startMs < leaving.untilMs);
                if (!concerned || !late || view == views.end() || isDisturbed(record, leaving.fromMs, isOfStore)
                    || isDisturbed(record, run.startMs,
                        [&](const Fault &fault) { return concernsVm(fault, view->second->vm) || concernsUpstream(fault, static_cast<int>(i)); })) {
                    continue;
                }
                findings.push_back((leaving.zone.empty() ? "leaving upstream " : "evacuated zone's upstream ") + run.upstream + " got " + run.request + " "
                    + std::to_string(run.startMs - leaving.fromMs) + " ms after it was told");
            }
        }
    }
}

} // namespace

std::vector<std::string> judgeRun(const RunRecord &record, const std::vector<UpstreamRuns> &upstreams, bool bounds)
{
    std::map<std::string, int> runs;
    for (const auto &upstream : upstreams) {
        for (const Run &run : upstream.runs) {
            ++runs[run.request];
        }
    }
    std::vector<std::string> findings;
    judgeExecutions(record, runs, findings);
    judgeManifests(record, findings);
    if (bounds) {
        judgeLeavings(record, upstreams, findings);
    }
    return findings;
}

} // namespace Wasabistair::Soak
