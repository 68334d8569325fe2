#include "simulation.h"

#include <steering/hash.h>
#include <steering/refusal.h>

#include <algorithm>
#include <cmath>

namespace Wasabistair::Model::Internal {

namespace {

using Steering::TryOutcome;

// An answer in a third of the time by an upstream that knows the object, as measured on the users' bench.
constexpr double knownFactor = 3;
// One way, within a region.
constexpr std::int64_t networkMs = 1;
// News of the registry reach a VM within this time: the least time between two of its watches (platform/platformfeed.cpp).
constexpr std::int64_t newsMs = 900;
// The registry drops an upstream that is gone after this time.
constexpr std::int64_t lapseMs = 2'000;
// Upstreams to which one request may be sent, as usual manifests say.
constexpr int mostTries = 3;
// The users' sheets look at windows of this length.
constexpr std::int64_t windowMs = 2'000;
// The patterns of model.h.
constexpr int affectedOf = 8;
constexpr int joiningOf = 4;
constexpr std::int64_t slowFactor = 4;
constexpr double crowdFactor = 1.5;
// Work varies by this part of its mean to both sides.
constexpr double workSpread = 0.3;
// Steepness of the objects' popularity.
constexpr double popularity = 0.7;

} // namespace

Simulation::Simulation(const Plan &plan, const Policy &policy, std::uint64_t seed)
    : plan_(plan)
    , policy_(policy)
    , random_(seed)
    , route_{"r", "h", "/", false, plan.deadlineMs, plan.objectiveMs, 0, {{"s", 1}}, mostTries, true, {}}
{
    Steering::Manifest manifest;
    manifest.version = 1;
    manifest.services["s"] = {};
    manifest.routes.push_back(route_);
    sources_.manifest = std::make_shared<const Steering::Manifest>(manifest);
    for (int i = 0; i < plan.vms; ++i) {
        sources_.vms.insert("vm-" + std::to_string(i));
    }
    for (int i = 0; i < plan.upstreams; ++i) {
        addUpstream();
    }
    drawObjects();
}

Result Simulation::run()
{
    for (int i = 0; i < plan_.vms; ++i) {
        vms_.push_back(std::make_unique<Vm>(i));
    }
    takeNews();
    ask();
    at(plan_.durationMs / 3, Step::Change, 0);
    at(2 * plan_.durationMs / 3, Step::Restore, 0);
    while (!events_.empty()) {
        const Event event = events_.top();
        events_.pop();
        nowMs_ = event.atMs;
        play(event);
    }
    return result();
}

double Simulation::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void Simulation::at(std::int64_t delayMs, Step step, int subject)
{
    events_.push({nowMs_ + delayMs, ++order_, step, subject});
}

void Simulation::addUpstream()
{
    const std::string id = "u-" + std::to_string(upstreams_.size());
    upstreams_.push_back(std::make_unique<ModelUpstream>(plan_.slots, plan_.queue, plan_.remembered));
    sources_.upstreams[id] = {id, "s", "10.0.0.1", 80, "a", "v1", plan_.slots, false, 0, 5};
    indexOf_[id] = static_cast<int>(upstreams_.size()) - 1;
}

void Simulation::drawObjects()
{
    double sum = 0;
    for (int i = 1; i <= plan_.objects; ++i) {
        sum += std::pow(i, -popularity);
        popular_.push_back(sum);
    }
}

int Simulation::drawObject()
{
    const double point = uniform() * popular_.back();
    return static_cast<int>(std::lower_bound(popular_.begin(), popular_.end(), point) - popular_.begin());
}

bool Simulation::isCrowded(std::int64_t sinceStartMs) const
{
    return plan_.pattern == Pattern::Crowd && sinceStartMs > plan_.durationMs / 3 && sinceStartMs < 2 * plan_.durationMs / 3;
}

void Simulation::ask()
{
    double time = 0;
    while (true) {
        const double factor = isCrowded(static_cast<std::int64_t>(time)) ? crowdFactor : 1;
        time += -std::log(1 - uniform()) * 1'000 / (plan_.requestsPerSecond * factor);
        if (time >= static_cast<double>(plan_.durationMs)) {
            return;
        }
        Request request;
        request.vm = static_cast<int>(random_() % static_cast<std::uint64_t>(plan_.vms));
        request.object = drawObject();
        request.askedMs = startMs + static_cast<std::int64_t>(time);
        requests_.push_back(std::move(request));
        const int number = static_cast<int>(requests_.size()) - 1;
        at(static_cast<std::int64_t>(time), Step::Dispatch, number);
        at(static_cast<std::int64_t>(time) + plan_.deadlineMs, Step::Deadline, number);
    }
}

void Simulation::play(const Event &event)
{
    switch (event.step) {
    case Step::Dispatch:
        dispatch(event.subject);
        break;
    case Step::Arrive:
        arrive(event.subject);
        break;
    case Step::Finish:
        finish(event.subject);
        break;
    case Step::Deadline:
        endAtDeadline(event.subject);
        break;
    case Step::Change:
        change();
        break;
    case Step::Restore:
        restore();
        break;
    case Step::News:
        takeNews();
        break;
    }
}

void Simulation::takeNews()
{
    for (const auto &vm : vms_) {
        vm->roster = vm->builder.build(sources_, nowMs_);
    }
}

void Simulation::change()
{
    const int affected = plan_.upstreams / affectedOf;
    if (plan_.pattern == Pattern::Join) {
        for (int i = 0; i < plan_.upstreams / joiningOf; ++i) {
            addUpstream();
        }
        at(newsMs, Step::News, 0);
    }
    for (int i = 0; i < affected; ++i) {
        if (plan_.pattern == Pattern::Slow) {
            upstreams_[static_cast<std::size_t>(i)]->slowness = slowFactor;
        } else if (plan_.pattern == Pattern::Crash) {
            upstreams_[static_cast<std::size_t>(i)]->refusesConnections = true;
            sources_.upstreams.erase("u-" + std::to_string(i));
        }
    }
    if (plan_.pattern == Pattern::Crash) {
        at(lapseMs + newsMs, Step::News, 0);
    }
}

void Simulation::restore()
{
    for (const auto &upstream : upstreams_) {
        upstream->slowness = 1;
    }
}

void Simulation::dispatch(int number)
{
    Request &request = requests_[static_cast<std::size_t>(number)];
    if (request.isOver) {
        return;
    }
    Vm &vm = *vms_[static_cast<std::size_t>(request.vm)];
    const Steering::ServiceRoster &service = *vm.roster->services.at("s");
    const std::uint64_t key = policy_.affinity ? Steering::hashOf(std::to_string(request.object)) : random_();
    const Steering::Selection selection = Steering::selectUpstream(*vm.roster, service, {&route_, key, request.tried, nowMs_}, {}, vm.flow);
    if (selection.end == Steering::SelectionEnd::Selected) {
        request.upstream = indexOf_.at(selection.upstream->entry.id);
        request.record = selection.upstream->record;
        request.tried.push_back(selection.upstream->idHash);
        ++request.tries;
        request.record->beginTry();
        at(networkMs, Step::Arrive, number);
    } else if (request.waitedMs + Steering::roomWaitStepMs <= Steering::longestRoomWaitMs(plan_.objectiveMs)) {
        request.waitedMs += Steering::roomWaitStepMs;
        at(Steering::roomWaitStepMs, Step::Dispatch, number);
    } else {
        refuse(number);
    }
}

void Simulation::refuse(int number)
{
    Request &request = requests_[static_cast<std::size_t>(number)];
    if (request.hasReturned) {
        request.isOver = true;
        ++result_.refused;
        return;
    }
    request.hasReturned = true;
    request.waitedMs = 0;
    request.tries = 0;
    request.tried.clear();
    at(Steering::returnAfterMs(Steering::RefusalReason::NoRoom, uniform()), Step::Dispatch, number);
}

void Simulation::endTry(Request &request, TryOutcome outcome, const std::optional<Steering::ReportedLoad> &load)
{
    Steering::ServiceRecord &service = *vms_[static_cast<std::size_t>(request.vm)]->roster->services.at("s")->record;
    if (load && policy_.serviceMean) {
        service.load.note(*load, nowMs_);
    }
    request.record->endTry(outcome, load, service.silentShare.load(), nowMs_);
    request.upstream = -1;
}

void Simulation::tryAgain(int number)
{
    if (requests_[static_cast<std::size_t>(number)].tries < mostTries) {
        at(networkMs, Step::Dispatch, number);
    } else {
        refuse(number);
    }
}

void Simulation::arrive(int number)
{
    Request &request = requests_[static_cast<std::size_t>(number)];
    if (request.isOver) {
        return;
    }
    const int index = request.upstream;
    ModelUpstream &upstream = *upstreams_[static_cast<std::size_t>(index)];
    if (upstream.refusesConnections) {
        endTry(request, TryOutcome::NoConnection, std::nullopt);
        tryAgain(number);
    } else if (!upstream.arrive(number)) {
        endTry(request, TryOutcome::RefusedFull, upstream.load());
        tryAgain(number);
    } else {
        startWork(index);
    }
}

void Simulation::startWork(int index)
{
    ModelUpstream &upstream = *upstreams_[static_cast<std::size_t>(index)];
    for (int next = upstream.startNext(); next >= 0; next = upstream.startNext()) {
        const Request &request = requests_[static_cast<std::size_t>(next)];
        runningAt_[next] = index;
        const double factor = upstream.knows(request.object) ? 1 / knownFactor : 1;
        const double mean = static_cast<double>(plan_.workMs * upstream.slowness) * factor;
        at(static_cast<std::int64_t>(mean * (1 - workSpread + 2 * workSpread * uniform())), Step::Finish, next);
    }
}

void Simulation::finish(int number)
{
    Request &request = requests_[static_cast<std::size_t>(number)];
    const int index = runningAt_.at(number);
    ModelUpstream &upstream = *upstreams_[static_cast<std::size_t>(index)];
    upstream.finish(request.object);
    if (!request.isOver) {
        endTry(request, TryOutcome::Answered, upstream.load());
        request.isOver = true;
        const std::int64_t took = nowMs_ + networkMs - request.askedMs;
        latencies_.push_back(took);
        (took <= plan_.objectiveMs ? result_.inTime : result_.late) += 1;
        windows_[(request.askedMs - startMs) / windowMs] += took <= plan_.objectiveMs ? 1 : lateValue;
    }
    startWork(index);
}

void Simulation::endAtDeadline(int number)
{
    Request &request = requests_[static_cast<std::size_t>(number)];
    if (request.isOver) {
        return;
    }
    request.isOver = true;
    ++result_.failed;
    if (request.upstream >= 0) {
        upstreams_[static_cast<std::size_t>(request.upstream)]->withdraw(number);
        endTry(request, TryOutcome::Silent, std::nullopt);
    }
}

Result Simulation::result()
{
    result_.requests = static_cast<int>(requests_.size());
    if (!latencies_.empty()) {
        const auto middle = latencies_.begin() + static_cast<std::ptrdiff_t>(latencies_.size() / 2);
        std::nth_element(latencies_.begin(), middle, latencies_.end());
        result_.medianMs = *middle;
    }
    std::map<std::int64_t, int> asked;
    for (const Request &request : requests_) {
        ++asked[(request.askedMs - startMs) / windowMs];
    }
    for (const auto &[window, count] : asked) {
        // At the start no upstream knows an object, whatever the policy.
        if (window > 0) {
            result_.worstWindow = std::min(result_.worstWindow, windows_[window] / count);
        }
    }
    return result_;
}

} // namespace Wasabistair::Model::Internal
