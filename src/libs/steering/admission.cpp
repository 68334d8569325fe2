#include "admission.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

namespace Wasabistair::Steering {

namespace {

// After a shortage, less urgent requests leave room for this time, in ms: about as long as the requests take that hold it.
constexpr std::int64_t shortageMs = 400;
constexpr double reserveForMoreUrgent = 0.2;
constexpr double reserveForWaiting = 0.15;
constexpr double msPerSecond = 1000;
constexpr std::int64_t never = std::numeric_limits<std::int64_t>::min() / 2;

} // namespace

bool parseAdmissionMode(std::string_view text, AdmissionMode &mode)
{
    if (text != "auto" && text != "on" && text != "off") {
        return false;
    }
    mode = text == "auto" ? AdmissionMode::Auto : text == "on" ? AdmissionMode::On : AdmissionMode::Off;
    return true;
}

std::string_view toString(AdmissionReason reason)
{
    switch (reason) {
    case AdmissionReason::None:
        return "none";
    case AdmissionReason::Admitted:
        return "admitted";
    case AdmissionReason::Displaced:
        return "displaced";
    case AdmissionReason::Unservable:
        return "unservable";
    case AdmissionReason::TimedOut:
        return "timed-out";
    case AdmissionReason::Withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

ServiceAdmission::ServiceAdmission()
{
    shortAtMs_.fill(never);
}

void ServiceAdmission::countAsked(const AdmissionGroups &groups, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    teams_.countAsked(groups.teamHash, nowMs);
    routes_.countAsked(groups.routeHash, nowMs);
}

void ServiceAdmission::countServed(const AdmissionGroups &groups, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    teams_.countServed(groups.teamHash, nowMs);
    routes_.countServed(groups.routeHash, nowMs);
    returns_.countServed(nowMs);
}

void ServiceAdmission::recordAnswer(std::uint64_t routeHash, KeyState key, std::int64_t tookMs, double loadPerSlot)
{
    const std::lock_guard lock(mutex_);
    estimates_.record(routeHash, key, static_cast<double>(tookMs), loadPerSlot);
}

void ServiceAdmission::onRoomFreed(std::int64_t nowMs)
{
    if (waiting_ == 0) {
        return;
    }
    const std::lock_guard lock(mutex_);
    if (turn_) {
        roomCameFree_ = true;
    } else if (order_.size() > 0) {
        startPass(nowMs);
    }
}

AdmissionNeed ServiceAdmission::needOf(AdmissionNeed need, const AdmissionGroups &groups, KeyState key, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    need.work = estimates_.expected(groups.routeHash, key, need.objectiveMs);
    const bool returns = estimates_.recordBudget(groups.routeHash, need.deadlineAtMs - need.arrivedAtMs);
    need.promised = returns && returns_.redeem(need.priority, nowMs);
    need.underserved = teams_.isUnderserved(groups.teamHash, nowMs) || routes_.isUnderserved(groups.routeHash, nowMs);
    return need;
}

double ServiceAdmission::loadLimit(const AdmissionNeed &need, bool waits, std::int64_t nowMs) const
{
    const double limit = queueableLoad(need);
    const std::lock_guard lock(mutex_);
    if (!need.underserved && !need.promised && (isMoreUrgentShort(need.priority, nowMs) || returns_.expectsMoreUrgent(need.priority, nowMs))) {
        return limit * (1 - reserveForMoreUrgent);
    }
    const auto claim = waits ? std::nullopt : claimOf(need, nowMs);
    return claim && order_.hasBefore(*claim, nowMs) ? limit * (1 - reserveForWaiting) : limit;
}

ServiceAdmission::Entry ServiceAdmission::enter(const AdmissionNeed &need, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    noteShortage(need.priority, nowMs);
    const auto claim = claimOf(need, nowMs);
    if (!claim) {
        return {std::nullopt, AdmissionReason::Unservable};
    }
    const AdmissionOrder::Insertion insertion = order_.insert(*claim, nowMs);
    if (insertion.displaced) {
        wake(*insertion.displaced, Wait::Displaced);
    }
    if (!insertion.id) {
        return {std::nullopt, AdmissionReason::Displaced};
    }
    if (order_.size() == 1) {
        // It has just found no room.
        passStartedAtMs_ = nowMs;
    }
    waiters_.emplace(*insertion.id, std::make_shared<Waiter>());
    waiting_ = waiters_.size();
    appointDriver();
    return {insertion.id, AdmissionReason::None};
}

ServiceAdmission::Wait ServiceAdmission::awaitTurn(Id id, std::int64_t nowMs, std::int64_t maxWaitMs)
{
    std::unique_lock lock(mutex_);
    const std::shared_ptr<Waiter> waiter = waiters_.at(id);
    for (const Id ended : order_.advance(nowMs)) {
        wake(ended, Wait::TimedOut);
    }
    if (turn_ == id) {
        // It found no room.
        giveNextTurn();
    }
    if (!turn_ && (std::exchange(roomCameFree_, false) || nowMs - passStartedAtMs_ >= turnIntervalMs)) {
        startPass(nowMs);
    }
    appointDriver();
    const std::int64_t waitMs = driver_ == id ? std::min(turnIntervalMs, maxWaitMs) : maxWaitMs;
    if (maxWaitMs > 0) {
        waiter->changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return waiter->wake.has_value(); });
    }
    return std::exchange(waiter->wake, std::nullopt).value_or(Wait::Continue);
}

void ServiceAdmission::leave(Id id)
{
    const std::lock_guard lock(mutex_);
    order_.erase(id);
    waiters_.erase(id);
    waiting_ = waiters_.size();
    if (turn_ == id) {
        giveNextTurn();
    }
    appointDriver();
}

std::size_t ServiceAdmission::waiting() const
{
    return waiting_;
}

std::int64_t ServiceAdmission::promiseReturn(const ReturnQuery &query, std::int64_t nowMs)
{
    const std::lock_guard lock(mutex_);
    noteShortage(query.priority, nowMs);
    // Those that wait are served first.
    const double queueMs = msPerSecond * static_cast<double>(order_.size()) / std::max(1.0, returns_.servedPerSecond(nowMs));
    ReturnQuery behindQueue = query;
    behindQueue.earliestMs = std::max(query.earliestMs, static_cast<std::int64_t>(queueMs));
    return returns_.promise(behindQueue, nowMs);
}

void ServiceAdmission::wake(Id id, Wait reason)
{
    const auto found = waiters_.find(id);
    if (found != waiters_.end()) {
        found->second->wake = reason;
        found->second->changed.notify_one();
    }
    if (turn_ == id && (reason == Wait::Displaced || reason == Wait::TimedOut)) {
        giveNextTurn();
    }
}

void ServiceAdmission::startPass(std::int64_t nowMs)
{
    passStartedAtMs_ = nowMs;
    order_.beginPass();
    giveNextTurn();
}

void ServiceAdmission::giveNextTurn()
{
    turn_ = order_.nextTurn();
    if (turn_) {
        wake(*turn_, Wait::Turn);
    }
}

void ServiceAdmission::appointDriver()
{
    const std::optional<Id> first = order_.first();
    if (driver_ == first) {
        return;
    }
    driver_ = first;
    const auto found = first ? waiters_.find(*first) : waiters_.end();
    if (found != waiters_.end() && !found->second->wake) {
        wake(*first, Wait::Continue);
    }
}

void ServiceAdmission::noteShortage(int priority, std::int64_t nowMs)
{
    shortAtMs_.at(std::min(static_cast<std::size_t>(std::max(0, priority)), priorityCount - 1)) = nowMs;
}

bool ServiceAdmission::isMoreUrgentShort(int priority, std::int64_t nowMs) const
{
    const std::size_t levels = std::min(static_cast<std::size_t>(std::max(0, priority)), priorityCount - 1);
    return std::any_of(shortAtMs_.begin(), shortAtMs_.begin() + static_cast<std::ptrdiff_t>(levels), [&](std::int64_t at) { return nowMs - at < shortageMs; });
}

} // namespace Wasabistair::Steering
