#include "routingengine.h"

#include <steering/decision.h>

#include <algorithm>
#include <chrono>

namespace Wasabistair::App {

namespace {

using Callers::ServerReservation;
using Steering::RoutingFailure;
using Steering::RoutingTable;

constexpr std::uint64_t randomStep = 0x9e3779b97f4a7c15U;
/// Interval at which waiting requests retry, in ms: headroom can also appear without a release.
constexpr std::int64_t headroomPollMs = 20;

std::shared_ptr<const RoutingTable> emptyTable(const std::string &region)
{
    auto table = std::make_shared<RoutingTable>();
    table->configuration = std::make_shared<const Steering::Configuration>();
    table->ownRegion = region;
    return table;
}

const Steering::ServerEntry *findServer(const RoutingTable &table, const std::string &place, const std::string &server)
{
    for (const Steering::PlaceEntry &entry : table.places) {
        if (entry.place.name != place) {
            continue;
        }
        for (const Steering::ServerEntry &candidate : entry.servers) {
            if (candidate.vm.id == server) {
                return &candidate;
            }
        }
    }
    return nullptr;
}

} // namespace

RoutingEngine::RoutingEngine(
    const Base::Clock &clock, ReviewRecorder &recorder, Platform::SlotClaim &slot, std::string vm, std::string region, std::uint64_t randomSeed)
    : clock_(clock)
    , recorder_(recorder)
    , slot_(slot)
    , vm_(std::move(vm))
    , random_(randomSeed)
    , table_(emptyTable(region))
{
    inputs_.configuration = std::make_shared<const Steering::Configuration>();
    inputs_.ownRegion = std::move(region);
}

void RoutingEngine::setConfiguration(std::shared_ptr<const Steering::Configuration> configuration, Base::MonotonicMs firstHoldMs)
{
    const std::lock_guard lock(inputMutex_);
    if (configuration->generation > inputs_.configuration->generation) {
        inputs_.configuration = std::move(configuration);
        inputs_.firstHoldMs = firstHoldMs;
        changed_ = true;
    }
}

void RoutingEngine::setVmList(const Platform::VmList &list)
{
    const std::lock_guard lock(inputMutex_);
    if (inputs_.vms != list.vms) {
        inputs_.vms = list.vms;
        changed_ = true;
    }
}

void RoutingEngine::setUnavailableEntryVms(std::vector<std::string> vms)
{
    if (draining_) {
        vms.push_back(vm_);
    }
    const std::lock_guard lock(inputMutex_);
    if (inputs_.unavailableEntryVms != vms) {
        inputs_.unavailableEntryVms = std::move(vms);
        changed_ = true;
    }
}

void RoutingEngine::setDraining()
{
    draining_ = true;
}

void RoutingEngine::rebuild()
{
    const std::lock_guard lock(inputMutex_);
    const auto slot = slot_.usable();
    const Base::MonotonicMs gainHoldUntil = slot_.gainHoldUntil();
    if (!changed_ && slot == inputs_.slot && gainHoldUntil == inputs_.gainHoldUntil) {
        return;
    }
    changed_ = false;
    inputs_.slot = slot;
    inputs_.gainHoldUntil = gainHoldUntil;
    inputs_.now = clock_.monotonic();
    const auto previous = table_.load();
    table_.publish(Steering::buildRoutingTable(inputs_, previous.get()));
}

std::shared_ptr<const RoutingTable> RoutingEngine::table() const
{
    return table_.load();
}

const Base::RcuPointer<RoutingTable> &RoutingEngine::tablePointer() const
{
    return table_;
}

std::optional<Callers::ServiceMatch> RoutingEngine::match(const std::string &host, const std::string &path) const
{
    return table_.read([&](const RoutingTable &table) -> std::optional<Callers::ServiceMatch> {
        const auto index = Steering::matchService(table, host, path);
        if (!index) {
            return std::nullopt;
        }
        const Steering::ServiceEntry &entry = table.services[*index];
        return Callers::ServiceMatch{entry.service, entry.retryBudget};
    });
}

std::uint64_t RoutingEngine::nextRandom()
{
    return random_.fetch_add(randomStep, std::memory_order_relaxed);
}

std::variant<ServerReservation, RoutingFailure> RoutingEngine::tryAcquire(const std::string &service, const std::vector<std::string> &excludedServers)
{
    // The process may have been paused since the table was built, so the slot is checked for every decision.
    if (!slot_.usable()) {
        return RoutingFailure::NoSlot;
    }
    const std::uint64_t random = nextRandom();
    return table_.read([&](const RoutingTable &table) -> std::variant<ServerReservation, RoutingFailure> {
        const auto index = Steering::findService(table, service);
        if (!index) {
            return RoutingFailure::NoPlace;
        }
        const Steering::DecisionInput input{*index, table.ownRegion, clock_.monotonic(), clock_.wall(), random, &excludedServers};
        const Steering::Decision decision = Steering::decide(table, input);
        if (decision.failure) {
            return *decision.failure;
        }
        const Steering::PlaceEntry &place = table.places[decision.place];
        const Steering::ServerEntry &server = place.servers[decision.server];
        return ServerReservation{server.vm, place.place.name, server.load, server.connections, place.uploadLink, place.answerLink, input.now};
    });
}

RoutingEngine::Queue &RoutingEngine::queueOf(const std::string &service)
{
    const std::lock_guard lock(queuesMutex_);
    auto &queue = queues_[service];
    if (!queue) {
        queue = std::make_unique<Queue>();
    }
    return *queue;
}

std::int64_t RoutingEngine::unitsOf(const std::string &service) const
{
    return table_.read([&](const RoutingTable &table) -> std::int64_t {
        const auto index = Steering::findService(table, service);
        return index ? table.services[*index].units : 0;
    });
}

std::int64_t RoutingEngine::maxWaiting(const std::string &service) const
{
    return (unitsOf(service) + 1) / 2;
}

std::int64_t RoutingEngine::maxStreams(const std::string &service) const
{
    return std::max<std::int64_t>(1, unitsOf(service) / 2);
}

std::variant<ServerReservation, RoutingFailure> RoutingEngine::acquire(
    const std::string &service, const std::vector<std::string> &excludedServers, Steering::MonotonicMs waitMs)
{
    Queue &queue = queueOf(service);
    // Waiting requests take precedence over new ones.
    if (queue.waiting.load(std::memory_order_relaxed) == 0) {
        auto first = tryAcquire(service, excludedServers);
        const auto *failure = std::get_if<RoutingFailure>(&first);
        if (!failure || *failure != RoutingFailure::NoHeadroom) {
            return first;
        }
    }
    if (waitMs <= 0 || queue.waiting.load(std::memory_order_relaxed) >= maxWaiting(service)) {
        return RoutingFailure::NoHeadroom;
    }
    const Base::MonotonicMs end = clock_.monotonic() + waitMs;
    queue.waiting.fetch_add(1, std::memory_order_relaxed);
    std::variant<ServerReservation, RoutingFailure> result = RoutingFailure::NoHeadroom;
    while (true) {
        releaseDue();
        result = tryAcquire(service, excludedServers);
        const auto *failure = std::get_if<RoutingFailure>(&result);
        const Base::MonotonicMs left = end - clock_.monotonic();
        if (!failure || *failure != RoutingFailure::NoHeadroom || left <= 0) {
            break;
        }
        std::unique_lock lock(queue.mutex);
        queue.unitReleased.wait_for(lock, std::chrono::milliseconds(std::min(left, headroomPollMs)));
    }
    queue.waiting.fetch_sub(1, std::memory_order_relaxed);
    return result;
}

bool RoutingEngine::mayStillSend(const ServerReservation &route) const
{
    const Base::MonotonicMs now = clock_.monotonic();
    if (now - route.decidedAt > Steering::maxDecisionAgeMs || !slot_.usable()) {
        return false;
    }
    const Base::WallMs wall = clock_.wall();
    return table_.read([&](const RoutingTable &table) {
        const Steering::ServerEntry *server = findServer(table, route.place, route.server.id);
        return server && Steering::usableUnits(table, *server, now, wall) > 0;
    });
}

void RoutingEngine::release(const ServerReservation &route)
{
    route.load->release();
    Queue &queue = queueOf(route.server.service);
    if (queue.waiting.load(std::memory_order_relaxed) > 0) {
        queue.unitReleased.notify_one();
    }
}

void RoutingEngine::releaseAfter(const ServerReservation &route, Steering::MonotonicMs holdMs)
{
    delayedReleases_.add(route, clock_.monotonic() + holdMs);
}

void RoutingEngine::releaseDue()
{
    for (const ServerReservation &route : delayedReleases_.takeDue(clock_.monotonic())) {
        release(route);
    }
}

void RoutingEngine::record(const std::string &service, const std::string &place, Callers::RequestOutcome outcome, std::int64_t latencyUs)
{
    recorder_.record(service, place, outcome, latencyUs);
}

bool RoutingEngine::isDraining() const
{
    return draining_;
}

bool RoutingEngine::isReady() const
{
    return slot_.usable().has_value() && table_.read([](const RoutingTable &table) { return table.configuration->generation > 0 && table.slot.has_value(); });
}

} // namespace Wasabistair::App
