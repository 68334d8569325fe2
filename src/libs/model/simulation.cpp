#include "simulation.h"

#include <steering/hash.h>
#include <steering/rejection.h>

#include <algorithm>
#include <cmath>

namespace Wasabistair::Model::Internal {

namespace {

using Steering::AttemptOutcome;

// On the users' benchmark, a cache hit takes a third of the time.
constexpr double cacheHitSpeedup = 3;
// One-way network delay within a region.
constexpr std::int64_t networkMs = 1;
// Longest delay until a VM applies a registry change: the minimum interval between its watch calls (platform/platformfeed.cpp).
constexpr std::int64_t registryUpdateMs = 900;
// Time until the registration of a crashed upstream expires.
constexpr std::int64_t registrationExpiryMs = 2'000;
// Attempts per request, as in typical manifests.
constexpr int maxAttempts = 3;
// Window length of the users' evaluation.
constexpr std::int64_t windowMs = 2'000;
// Parameters of the patterns, as documented for Pattern: one in affectedDivisor upstreams is affected, one per
// joiningDivisor upstreams joins.
constexpr int affectedDivisor = 8;
constexpr int joiningDivisor = 4;
constexpr std::int64_t slowFactor = 4;
constexpr double crowdFactor = 1.5;
// Service times vary uniformly around their mean by up to this fraction.
constexpr double serviceTimeSpread = 0.3;
// Zipf exponent of the objects' popularity.
constexpr double popularityExponent = 0.7;

} // namespace

Simulation::Simulation(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
    : scenario_(scenario)
    , policy_(policy)
    , random_(seed)
    , route_{"r", "h", "/", false, scenario.deadlineMs, scenario.objectiveMs, 0, {{"s", 1}}, maxAttempts, true, {}}
{
    Steering::Manifest manifest;
    manifest.version = 1;
    manifest.services["s"] = {};
    manifest.routes.push_back(route_);
    sources_.manifest = std::make_shared<const Steering::Manifest>(manifest);
    for (int i = 0; i < scenario.vms; ++i) {
        sources_.vms.insert("vm-" + std::to_string(i));
    }
    for (int i = 0; i < scenario.upstreams; ++i) {
        addUpstream();
    }
    buildPopularity();
}

Result Simulation::run()
{
    for (int i = 0; i < scenario_.vms; ++i) {
        vms_.push_back(std::make_unique<Vm>(i));
    }
    rebuildSnapshots();
    scheduleRequests();
    schedule(scenario_.durationMs / 3, EventType::PatternStart, 0);
    schedule(2 * scenario_.durationMs / 3, EventType::PatternEnd, 0);
    while (!events_.empty()) {
        const Event event = events_.top();
        events_.pop();
        nowMs_ = event.atMs;
        handle(event);
    }
    return result();
}

double Simulation::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

void Simulation::schedule(std::int64_t delayMs, EventType type, int subject)
{
    events_.push({nowMs_ + delayMs, ++sequence_, type, subject});
}

void Simulation::addUpstream()
{
    const std::string id = "u-" + std::to_string(upstreams_.size());
    upstreams_.push_back(std::make_unique<ModelUpstream>(scenario_.slots, scenario_.queue, scenario_.cacheCapacity));
    sources_.upstreams[id] = {id, "s", "10.0.0.1", 80, "a", "v1", scenario_.slots, false, 0, 5};
    indexOf_[id] = static_cast<int>(upstreams_.size()) - 1;
}

void Simulation::buildPopularity()
{
    double sum = 0;
    for (int i = 1; i <= scenario_.objects; ++i) {
        sum += std::pow(i, -popularityExponent);
        cumulativePopularity_.push_back(sum);
    }
}

int Simulation::drawObject()
{
    const double point = uniform() * cumulativePopularity_.back();
    return static_cast<int>(std::lower_bound(cumulativePopularity_.begin(), cumulativePopularity_.end(), point) - cumulativePopularity_.begin());
}

bool Simulation::isCrowdActive(std::int64_t sinceStartMs) const
{
    return scenario_.pattern == Pattern::Crowd && sinceStartMs > scenario_.durationMs / 3 && sinceStartMs < 2 * scenario_.durationMs / 3;
}

void Simulation::scheduleRequests()
{
    double time = 0;
    while (true) {
        const double factor = isCrowdActive(static_cast<std::int64_t>(time)) ? crowdFactor : 1;
        time += -std::log(1 - uniform()) * 1'000 / (scenario_.requestsPerSecond * factor);
        if (time >= static_cast<double>(scenario_.durationMs)) {
            return;
        }
        Request request;
        request.vm = static_cast<int>(random_() % static_cast<std::uint64_t>(scenario_.vms));
        request.object = drawObject();
        request.arrivedMs = startMs + static_cast<std::int64_t>(time);
        requests_.push_back(std::move(request));
        const int number = static_cast<int>(requests_.size()) - 1;
        schedule(static_cast<std::int64_t>(time), EventType::Dispatch, number);
        schedule(static_cast<std::int64_t>(time) + scenario_.deadlineMs, EventType::Deadline, number);
    }
}

void Simulation::handle(const Event &event)
{
    switch (event.type) {
    case EventType::Dispatch:
        dispatch(event.subject);
        break;
    case EventType::Arrive:
        arrive(event.subject);
        break;
    case EventType::Finish:
        finish(event.subject);
        break;
    case EventType::Deadline:
        endAtDeadline(event.subject);
        break;
    case EventType::PatternStart:
        startPattern();
        break;
    case EventType::PatternEnd:
        endPattern();
        break;
    case EventType::RegistryUpdate:
        rebuildSnapshots();
        break;
    }
}

void Simulation::rebuildSnapshots()
{
    for (const auto &vm : vms_) {
        vm->snapshot = vm->builder.build(sources_, nowMs_);
    }
}

void Simulation::startPattern()
{
    const int affected = scenario_.upstreams / affectedDivisor;
    if (scenario_.pattern == Pattern::Join) {
        for (int i = 0; i < scenario_.upstreams / joiningDivisor; ++i) {
            addUpstream();
        }
        schedule(registryUpdateMs, EventType::RegistryUpdate, 0);
    }
    for (int i = 0; i < affected; ++i) {
        if (scenario_.pattern == Pattern::Slow) {
            upstreams_[static_cast<std::size_t>(i)]->serviceTimeFactor = slowFactor;
        } else if (scenario_.pattern == Pattern::Crash) {
            upstreams_[static_cast<std::size_t>(i)]->refusesConnections = true;
            sources_.upstreams.erase("u-" + std::to_string(i));
        }
    }
    if (scenario_.pattern == Pattern::Crash) {
        schedule(registrationExpiryMs + registryUpdateMs, EventType::RegistryUpdate, 0);
    }
}

void Simulation::endPattern()
{
    for (const auto &upstream : upstreams_) {
        upstream->serviceTimeFactor = 1;
    }
}

void Simulation::dispatch(int number)
{
    Request &request = requests_[static_cast<std::size_t>(number)];
    if (request.isDone) {
        return;
    }
    Vm &vm = *vms_[static_cast<std::size_t>(request.vm)];
    const Steering::ServiceSnapshot &service = *vm.snapshot->services.at("s");
    const std::uint64_t key = policy_.affinity ? Steering::hashOf(std::to_string(request.object)) : random_();
    const Steering::Selection selection
        = Steering::selectUpstream(*vm.snapshot, service, {{&route_}, key, request.attemptedUpstreams, nowMs_}, {}, vm.regionShiftLimiter);
    if (selection.end == Steering::SelectionOutcome::Selected) {
        request.upstream = indexOf_.at(selection.upstream->entry.id);
        request.record = selection.upstream->record;
        request.attemptedUpstreams.push_back(selection.upstream->idHash);
        ++request.attempts;
        request.record->beginAttempt();
        schedule(networkMs, EventType::Arrive, number);
    } else if (request.waitedMs + Steering::capacityPollIntervalMs <= Steering::maxCapacityWaitMs(scenario_.objectiveMs)) {
        request.waitedMs += Steering::capacityPollIntervalMs;
        schedule(Steering::capacityPollIntervalMs, EventType::Dispatch, number);
    } else {
        reject(number);
    }
}

void Simulation::reject(int number)
{
    Request &request = requests_[static_cast<std::size_t>(number)];
    if (request.wasRejectedOnce) {
        request.isDone = true;
        ++result_.refused;
        return;
    }
    request.wasRejectedOnce = true;
    request.waitedMs = 0;
    request.attempts = 0;
    request.attemptedUpstreams.clear();
    schedule(Steering::retryAfterMs(Steering::RejectionReason::Overloaded, uniform()), EventType::Dispatch, number);
}

void Simulation::endAttempt(Request &request, AttemptOutcome outcome, const std::optional<Steering::ReportedLoad> &load)
{
    Steering::ServiceRecord &service = *vms_[static_cast<std::size_t>(request.vm)]->snapshot->services.at("s")->record;
    if (load && policy_.usesServiceMeanLoad) {
        service.load.record(*load, nowMs_);
    }
    request.record->endAttempt(outcome, load, service.timeoutRate.load(), nowMs_);
    request.upstream = -1;
}

void Simulation::retryOrReject(int number)
{
    if (requests_[static_cast<std::size_t>(number)].attempts < maxAttempts) {
        schedule(networkMs, EventType::Dispatch, number);
    } else {
        reject(number);
    }
}

void Simulation::arrive(int number)
{
    Request &request = requests_[static_cast<std::size_t>(number)];
    if (request.isDone) {
        return;
    }
    const int index = request.upstream;
    ModelUpstream &upstream = *upstreams_[static_cast<std::size_t>(index)];
    if (upstream.refusesConnections) {
        endAttempt(request, AttemptOutcome::NoConnection, std::nullopt);
        retryOrReject(number);
    } else if (!upstream.enqueue(number)) {
        endAttempt(request, AttemptOutcome::RejectedOverloaded, upstream.load());
        retryOrReject(number);
    } else {
        startQueuedRequests(index);
    }
}

void Simulation::startQueuedRequests(int index)
{
    ModelUpstream &upstream = *upstreams_[static_cast<std::size_t>(index)];
    for (int next = upstream.startNext(); next >= 0; next = upstream.startNext()) {
        const Request &request = requests_[static_cast<std::size_t>(next)];
        runningAt_[next] = index;
        const double factor = upstream.hasCached(request.object) ? 1 / cacheHitSpeedup : 1;
        const double mean = static_cast<double>(scenario_.serviceTimeMs * upstream.serviceTimeFactor) * factor;
        schedule(static_cast<std::int64_t>(mean * (1 - serviceTimeSpread + 2 * serviceTimeSpread * uniform())), EventType::Finish, next);
    }
}

void Simulation::finish(int number)
{
    Request &request = requests_[static_cast<std::size_t>(number)];
    const int index = runningAt_.at(number);
    ModelUpstream &upstream = *upstreams_[static_cast<std::size_t>(index)];
    upstream.finish(request.object);
    if (!request.isDone) {
        endAttempt(request, AttemptOutcome::Answered, upstream.load());
        request.isDone = true;
        const std::int64_t took = nowMs_ + networkMs - request.arrivedMs;
        latencies_.push_back(took);
        (took <= scenario_.objectiveMs ? result_.inTime : result_.late) += 1;
        valueByWindow_[(request.arrivedMs - startMs) / windowMs] += took <= scenario_.objectiveMs ? 1 : lateAnswerValue;
    }
    startQueuedRequests(index);
}

void Simulation::endAtDeadline(int number)
{
    Request &request = requests_[static_cast<std::size_t>(number)];
    if (request.isDone) {
        return;
    }
    request.isDone = true;
    ++result_.failed;
    if (request.upstream >= 0) {
        upstreams_[static_cast<std::size_t>(request.upstream)]->removeQueued(number);
        endAttempt(request, AttemptOutcome::Timeout, std::nullopt);
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
    std::map<std::int64_t, int> arrived;
    for (const Request &request : requests_) {
        ++arrived[(request.arrivedMs - startMs) / windowMs];
    }
    for (const auto &[window, count] : arrived) {
        // The first window is left out: all caches are empty at the start, whatever the policy.
        if (window > 0) {
            result_.worstWindow = std::min(result_.worstWindow, valueByWindow_[window] / count);
        }
    }
    return result_;
}

} // namespace Wasabistair::Model::Internal
