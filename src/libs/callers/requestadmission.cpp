#include "requestadmission.h"

#include <steering/hash.h>

#include <utility>

namespace Wasabistair::Callers {

namespace {

using Steering::AdmissionReason;
using Steering::KeyState;
using Steering::ServiceAdmission;

constexpr double msPerSecond = 1000;
// Interval at which a waiting request looks whether its caller left, in ms.
constexpr std::int64_t callerCheckIntervalMs = 60;

Steering::AdmissionGroups groupsOf(const Steering::RequestRules &rules)
{
    return {rules.team != nullptr ? Steering::hashOf(rules.team->name) : 0, Steering::hashOf(rules.route->name)};
}

} // namespace

bool isAdmissionOrdered(const DispatchContext &context, const Steering::Manifest &manifest, const Steering::ServiceSnapshot &service)
{
    switch (context.admissionMode) {
    case Steering::AdmissionMode::On:
        return true;
    case Steering::AdmissionMode::Off:
        return false;
    case Steering::AdmissionMode::Auto:
        break;
    }
    return manifest.teams.requiresKeys() || service.record->placement.reportsPace();
}

RequestAdmission::RequestAdmission(DispatchContext &context, const Steering::ServiceSnapshot &service, const Steering::RequestRules &rules, bool keyed,
    Base::MonotonicMs arrivedAt, DispatchProgress &progress)
    : context_(context)
    , admission_(service.record->admission)
    , record_(service.record)
    , progress_(progress)
    , keyed_(keyed)
    , groups_(groupsOf(rules))
{
    const Base::MonotonicMs now = context_.clock.monotonic();
    need_.priority = priorityOf(rules);
    need_.arrivedAtMs = arrivedAt;
    need_.objectiveMs = rules.route->objectiveMs;
    need_.deadlineAtMs = progress.deadline;
    admission_.countAsked(groups_, now);
    need_ = admission_.needOf(need_, groups_, KeyState::Unspecified, now);
}

RequestAdmission::~RequestAdmission()
{
    endWait(AdmissionReason::Withdrawn);
}

double RequestAdmission::maxLoadPerSlot(Base::MonotonicMs now) const
{
    // A request that leaves its key's upstream takes several times as long elsewhere, which costs it more than that upstream's queue.
    return keyed_ ? Steering::noLoadLimit : admission_.loadLimit(need_, waitId_.has_value(), now);
}

void RequestAdmission::onRoomFound(double loadPerSlot, Base::MonotonicMs now)
{
    loadPerSlot_ = loadPerSlot;
    endWait(AdmissionReason::Admitted);
    if (!std::exchange(served_, true)) {
        admission_.countServed(groups_, now);
    }
}

void RequestAdmission::onAttemptEnded(Steering::AttemptOutcome outcome, std::int64_t tookMs, Base::MonotonicMs now)
{
    if (outcome == Steering::AttemptOutcome::Answered) {
        admission_.recordAnswer(groups_.routeHash, KeyState::Unspecified, tookMs, loadPerSlot_);
    }
    admission_.onRoomFreed(now);
}

bool RequestAdmission::awaitTurn(const Http::ByteStream &caller, std::int64_t admissionInMs)
{
    Base::MonotonicMs now = context_.clock.monotonic();
    if (!waitId_) {
        const ServiceAdmission::Entry entry = admission_.enter(need_, now);
        if (!entry.id) {
            return refuse(entry.reason);
        }
        waitId_ = entry.id;
        waitingSince_ = now;
        context_.metrics.admission().waiting().Increment();
    }
    // Upstreams that hold requests back name the time at which they take the next one.
    const auto claim = claimOf(need_, waitingSince_);
    if (claim && now + admissionInMs > claim->waitUntilMs) {
        return refuse(AdmissionReason::Unservable);
    }
    while (true) {
        switch (admission_.awaitTurn(*waitId_, now, callerCheckIntervalMs)) {
        case ServiceAdmission::Wait::Turn:
            return true;
        case ServiceAdmission::Wait::Displaced:
            return refuse(AdmissionReason::Displaced);
        case ServiceAdmission::Wait::TimedOut:
            return refuse(AdmissionReason::TimedOut);
        case ServiceAdmission::Wait::Continue:
            break;
        }
        if (caller.isClosedByPeer() || context_.stopDeadline.load(std::memory_order_relaxed) > 0) {
            return refuse(AdmissionReason::Withdrawn);
        }
        now = context_.clock.monotonic();
    }
}

std::int64_t RequestAdmission::returnAfterMs(double point, std::int64_t admissionInMs)
{
    const Base::MonotonicMs now = context_.clock.monotonic();
    return admission_.promiseReturn({need_.priority, need_.deadlineAtMs - now, need_.work.usualMs, point, admissionInMs}, now);
}

bool RequestAdmission::refuse(AdmissionReason reason)
{
    endWait(reason);
    progress_.admission = reason;
    context_.metrics.admission().countRefused(reason);
    return false;
}

void RequestAdmission::endWait(AdmissionReason reason)
{
    if (!waitId_) {
        return;
    }
    admission_.leave(*waitId_);
    waitId_.reset();
    const std::int64_t waitedMs = context_.clock.monotonic() - waitingSince_;
    progress_.waitedMs += waitedMs;
    progress_.admission = reason;
    context_.metrics.admission().waiting().Decrement();
    context_.metrics.admission().countWait(reason, static_cast<double>(waitedMs) / msPerSecond);
}

} // namespace Wasabistair::Callers
