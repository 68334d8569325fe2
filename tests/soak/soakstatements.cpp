#include "soakstatements.h"

#include <algorithm>
#include <compare>
#include <map>
#include <set>

namespace Wasabistair::Soak {

namespace {

// Bounds of the platform's contract.
constexpr std::int64_t drainBoundMs = 2'500;
constexpr std::int64_t statementGraceMs = 500;
constexpr std::ptrdiff_t toleratedInPause = 2;
constexpr std::int64_t limitSettlesMs = 4'000;
constexpr std::int64_t limitWindowMs = 4'000;
constexpr double limitFactor = 1.5;
constexpr double limitSlack = 5;
constexpr double msPerSecond = 1'000;
// Allowance for the delay in the stand-ins between the sending of a request and the record of its arrival.
constexpr std::int64_t recordingDelayMs = 200;
constexpr int httpOk = 200;

/// One process of a VM and one incarnation of an upstream.
struct Pair {
    int vm = 0;
    int process = 0;
    std::string upstream;

    auto operator<=>(const Pair &) const = default;
};

/// An arrival and the caller's view of the same request.
struct TracedArrival {
    Arrival arrival;
    const CallerView *view = nullptr;
    int upstreamIndex = 0;
};

using TracedArrivals = std::map<Pair, std::vector<TracedArrival>>;

std::string nameOf(const Pair &pair)
{
    return pair.upstream + " from vm-" + std::to_string(pair.vm);
}

/// Leaves out requests whose VM was restarted meanwhile, since the process that passed them on is unknown.
TracedArrivals traceArrivals(const SoakRun &record, const std::vector<UpstreamExecutions> &upstreams)
{
    std::map<std::string, const CallerView *> views;
    for (const auto &caller : record.callers) {
        for (const CallerView &view : caller) {
            views[view.record.id] = &view;
        }
    }
    TracedArrivals traced;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        for (const Arrival &arrival : upstreams[i].arrivals) {
            const auto view = views.find(arrival.requestId);
            if (view != views.end() && view->second->startsBefore == view->second->startsAfter) {
                const Pair pair{view->second->vm, view->second->startsBefore, arrival.upstream};
                traced[pair].push_back({arrival, view->second, static_cast<int>(i)});
            }
        }
    }
    return traced;
}

/// Whether a fault of the VM or of the way to the upstream overlaps the span from @p fromMs to @p untilMs. Faults of the store excuse nothing.
bool isDisturbed(const SoakRun &record, const Pair &pair, int upstreamIndex, std::int64_t fromMs, std::int64_t untilMs)
{
    return std::any_of(record.plan.begin(), record.plan.end(), [&](const Fault &fault) {
        const std::int64_t begin = record.startMs + fault.atMs;
        const bool ofVm = scopeOf(fault.kind) == FaultScope::Vm && fault.kind != FaultKind::VmReloaded && fault.target == pair.vm;
        const bool ofWay = scopeOf(fault.kind) == FaultScope::UpstreamPath && fault.target == upstreamIndex;
        return (ofVm || ofWay) && begin <= untilMs && begin + fault.durationMs + recordingDelayMs >= fromMs;
    });
}

bool isPassedOn(const TracedArrival &traced)
{
    return traced.view->record.status == httpOk;
}

void checkLeaving(const SoakRun &record, const TracedArrivals &traced, std::vector<std::string> &findings)
{
    for (const auto &[pair, arrivals] : traced) {
        std::int64_t toldAt = 0;
        for (const TracedArrival &each : arrivals) {
            if (each.arrival.stated.leaving && isPassedOn(each) && (toldAt == 0 || each.view->answeredMs < toldAt)) {
                toldAt = each.view->answeredMs;
            }
        }
        for (const TracedArrival &each : arrivals) {
            if (toldAt != 0 && each.view->sentMs > toldAt + drainBoundMs && !isDisturbed(record, pair, each.upstreamIndex, toldAt, each.arrival.atMs)) {
                findings.push_back("upstream that said it leaves, " + nameOf(pair) + ", got " + each.arrival.requestId + " "
                    + std::to_string(each.view->sentMs - toldAt) + " ms after the VM had passed that on");
            }
        }
    }
}

void checkPauses(const SoakRun &record, const TracedArrivals &traced, std::vector<std::string> &findings)
{
    for (const auto &[pair, arrivals] : traced) {
        for (const TracedArrival &rejected : arrivals) {
            const std::int64_t from = rejected.arrival.atMs + statementGraceMs;
            const std::int64_t until = rejected.arrival.atMs + rejected.arrival.stated.pauseMs;
            const auto inside = std::count_if(
                arrivals.begin(), arrivals.end(), [&](const TracedArrival &each) { return each.arrival.atMs > from && each.arrival.atMs < until; });
            if (rejected.arrival.stated.pauseMs > 0 && inside > toleratedInPause
                && !isDisturbed(record, pair, rejected.upstreamIndex, rejected.arrival.atMs, until)) {
                findings.push_back("upstream that asked for a pause, " + nameOf(pair) + ", got " + std::to_string(inside) + " requests in it");
                break;
            }
        }
    }
}

/// One incarnation of an upstream while it states a limit.
struct LimitPeriod {
    double limit = 0;
    std::int64_t fromMs = 0;
    std::int64_t untilMs = 0;
};

/// The first period in which the arrivals at one upstream, ordered by time, state a limit.
LimitPeriod firstLimitPeriod(const std::vector<TracedArrival> &arrivals)
{
    LimitPeriod period;
    for (const TracedArrival &each : arrivals) {
        if (each.arrival.stated.limit > 0) {
            period.limit = each.arrival.stated.limit;
            period.fromMs = period.fromMs == 0 ? each.arrival.atMs : period.fromMs;
            period.untilMs = each.arrival.atMs;
        } else if (period.fromMs != 0) {
            break;
        }
    }
    return period;
}

void checkLimits(const SoakRun &record, const TracedArrivals &traced, std::vector<std::string> &findings)
{
    std::map<std::string, std::vector<TracedArrival>> byUpstream;
    for (const auto &[pair, arrivals] : traced) {
        auto &all = byUpstream[pair.upstream];
        all.insert(all.end(), arrivals.begin(), arrivals.end());
    }
    for (auto &[upstream, arrivals] : byUpstream) {
        std::sort(arrivals.begin(), arrivals.end(), [](const auto &left, const auto &right) { return left.arrival.atMs < right.arrival.atMs; });
        const LimitPeriod period = firstLimitPeriod(arrivals);
        // Time from which each process of a VM must keep the limit; those that a fault disturbed are left out.
        std::map<Pair, std::int64_t> toldAt;
        std::vector<std::int64_t> counted;
        for (const TracedArrival &each : arrivals) {
            if (each.arrival.atMs < period.fromMs || each.arrival.atMs > period.untilMs) {
                continue;
            }
            const Pair pair{each.view->vm, each.view->startsBefore, upstream};
            const auto told = toldAt.find(pair);
            const bool counts = told != toldAt.end() && each.arrival.atMs >= told->second + statementGraceMs
                && each.arrival.atMs >= period.fromMs + limitSettlesMs && !isDisturbed(record, pair, each.upstreamIndex, period.fromMs, each.arrival.atMs);
            if (counts) {
                counted.push_back(each.arrival.atMs);
            }
            if (isPassedOn(each) && each.arrival.stated.limit > 0 && (told == toldAt.end() || each.view->answeredMs < told->second)) {
                toldAt[pair] = each.view->answeredMs;
            }
        }
        const double tolerated = limitFactor * period.limit * limitWindowMs / msPerSecond + limitSlack;
        for (auto begin = counted.begin(); begin != counted.end(); ++begin) {
            const auto inWindow = std::lower_bound(begin, counted.end(), *begin + limitWindowMs) - begin;
            if (static_cast<double>(inWindow) > tolerated) {
                findings.push_back("upstream that stated a limit, " + upstream + ", got " + std::to_string(inWindow) + " requests in 4 s");
                break;
            }
        }
    }
}

} // namespace

void checkStatements(const SoakRun &record, const std::vector<UpstreamExecutions> &upstreams, std::vector<std::string> &findings)
{
    const TracedArrivals traced = traceArrivals(record, upstreams);
    checkLeaving(record, traced, findings);
    checkPauses(record, traced, findings);
    checkLimits(record, traced, findings);
}

} // namespace Wasabistair::Soak
