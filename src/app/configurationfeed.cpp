#include "configurationfeed.h"

#include <base/log.h>
#include <platform/vmlist.h>

#include <algorithm>

namespace Wasabistair::App {

namespace {

constexpr std::uint64_t randomMultiplier = 6364136223846793005U;
constexpr std::uint64_t randomIncrement = 1442695040888963407U;
constexpr int randomShift = 33;
constexpr std::int64_t loadIdleMs = 1'000;
constexpr std::int64_t loadRetryMs = 200;
constexpr std::int64_t missingHeadRetryMs = 500;

} // namespace

ConfigurationFeed::ConfigurationFeed(Platform::ObjectStore &store, const Base::Clock &clock, Base::Timeline &timeline, Nodes::Mesh &mesh,
    Nodes::GenerationStore &generations, Platform::SlotClaim &slot, RoutingEngine &engine, std::size_t seedCount, std::uint64_t randomSeed)
    : store_(store)
    , clock_(clock)
    , timeline_(timeline)
    , mesh_(mesh)
    , generations_(generations)
    , slot_(slot)
    , engine_(engine)
    , seedCount_(seedCount)
    , random_(randomSeed)
{}

ConfigurationFeed::~ConfigurationFeed()
{
    stop();
}

void ConfigurationFeed::start()
{
    loader_ = std::make_unique<Base::Worker>([this] { return loadStep(); });
    lister_ = std::make_unique<Base::Worker>([this] { return listStep(); });
    watcher_ = std::make_unique<Base::Worker>([this] { return watchStep(); });
}

void ConfigurationFeed::stop()
{
    stopping_ = true;
    watcher_.reset();
    lister_.reset();
    loader_.reset();
}

std::int64_t ConfigurationFeed::jittered(std::int64_t milliseconds)
{
    std::uint64_t before = random_.load();
    std::uint64_t next = 0;
    do {
        next = before * randomMultiplier + randomIncrement;
    } while (!random_.compare_exchange_weak(before, next));
    const std::int64_t half = std::max<std::int64_t>(1, milliseconds / 2);
    return half + static_cast<std::int64_t>((next >> randomShift) % static_cast<std::uint64_t>(milliseconds - half + 1));
}

bool ConfigurationFeed::queriesPlatform() const
{
    return mesh_.isRelay() || !mesh_.hasAliveRelay();
}

void ConfigurationFeed::recordPlatformCall(bool reachable)
{
    if (reachable) {
        platformAnswered_ = true;
        backoffMs_ = initialBackoffMs;
        slot_.recordContact();
    } else {
        backoffMs_ = std::min(maxBackoffMs, backoffMs_ * 2);
    }
    if (platformReachable_.exchange(reachable) != reachable) {
        timeline_.record(reachable ? Base::EventKind::PlatformUp : Base::EventKind::PlatformDown, generations_.current().generation, "platform", "");
    }
}

std::int64_t ConfigurationFeed::watchStep()
{
    const bool direct = queriesPlatform();
    const Platform::Version knownVersion = direct ? headVersion_ : Platform::noVersion;
    const auto value = Platform::tryStore(
        [&] { return knownVersion == Platform::noVersion ? store_.get(Platform::headKey) : store_.watch(Platform::headKey, knownVersion, watchTimeoutMs); });
    if (!value) {
        const bool nothingPublished = value.error->failure == Platform::PlatformFailure::NotFound;
        recordPlatformCall(nothingPublished);
        return nothingPublished ? missingHeadRetryMs : jittered(backoffMs_);
    }
    recordPlatformCall(true);
    if (value.value->version != headVersion_ || !direct) {
        headVersion_ = value.value->version;
        if (const auto head = Platform::decodeHead(value.value->value)) {
            {
                const std::lock_guard lock(mutex_);
                head_ = *head;
            }
            offerCandidate({head->current().generation, head->current().manifestDigest});
        }
    }
    return direct ? 0 : jittered(scaledByFleet(relayedIntervalMs));
}

std::int64_t ConfigurationFeed::listStep()
{
    const bool direct = queriesPlatform() || list()->version == Platform::noVersion;
    const Platform::Version knownVersion = list()->version;
    const auto listed = Platform::tryStore([&] { return store_.vms(knownVersion); });
    if (!listed) {
        recordPlatformCall(false);
        return jittered(std::max(listIntervalMs, backoffMs_.load()));
    }
    recordPlatformCall(true);
    applyList(*listed.value);
    return jittered(direct ? listIntervalMs : scaledByFleet(relayedIntervalMs));
}

void ConfigurationFeed::onPeerVmList(const Platform::ListDelta &delta)
{
    if (const auto next = Platform::applyDelta(*list(), delta)) {
        applyList(*next);
    }
}

Platform::ListDelta ConfigurationFeed::listDelta(Platform::Version knownVersion) const
{
    const std::lock_guard lock(mutex_);
    const auto earlier = std::find_if(earlierLists_.begin(), earlierLists_.end(), [knownVersion](const auto &list) { return list->version == knownVersion; });
    return Platform::deltaBetween(earlier == earlierLists_.end() ? Platform::VmList{} : **earlier, *list_);
}

void ConfigurationFeed::applyList(const Platform::VmList &list)
{
    {
        const std::lock_guard lock(mutex_);
        if (list.version <= list_->version) {
            return;
        }
        earlierLists_.push_back(std::move(list_));
        if (earlierLists_.size() > maxEarlierLists) {
            earlierLists_.pop_front();
        }
        list_ = std::make_shared<const Platform::VmList>(list);
    }
    slot_.applyList(list);
    mesh_.setList(list);
    engine_.setVmList(list);
}

std::shared_ptr<const Platform::VmList> ConfigurationFeed::list() const
{
    const std::lock_guard lock(mutex_);
    return list_;
}

std::int64_t ConfigurationFeed::scaledByFleet(std::int64_t milliseconds) const
{
    const std::lock_guard lock(mutex_);
    const auto count = static_cast<std::int64_t>(Platform::entryVmCount(*list_));
    return std::max(milliseconds, milliseconds * count / baseFleetSize);
}

bool ConfigurationFeed::platformReachable() const
{
    return platformReachable_;
}

void ConfigurationFeed::onPeerGeneration(std::uint64_t generation, const std::string &manifestDigest)
{
    offerCandidate({generation, manifestDigest});
}

void ConfigurationFeed::offerCandidate(const Nodes::GenerationId &candidate)
{
    {
        const std::lock_guard lock(mutex_);
        if (candidate.generation <= generations_.current().generation) {
            return;
        }
        if (!candidate_ || candidate.generation > candidate_->generation) {
            candidate_ = candidate;
        }
    }
    if (loader_) {
        loader_->wake();
    }
}

/// A process without any generation applies one only after the platform has answered, or after it has heard from more than half
/// of the other entry VMs: fewer could all be older than what an earlier process under this address used.
bool ConfigurationFeed::mayApplyFirstGeneration() const
{
    if (platformAnswered_) {
        return true;
    }
    const std::size_t listed = Platform::entryVmCount(*list());
    const std::size_t others = listed > 0 ? listed - 1 : seedCount_;
    // VMs that are not relays connect only to the relays of their zone, which have the generations of the other zones.
    const std::size_t needed = std::min(others / 2 + 1, mesh_.status().linksWanted > 0 ? mesh_.status().linksWanted : others / 2 + 1);
    return mesh_.peersWithHeartbeat() >= needed;
}

/// Other VMs apply a generation some seconds after it was published. Until then a process that starts with it must not
/// use units that another VM may still count as its own.
Base::MonotonicMs ConfigurationFeed::firstHoldMs(const Nodes::GenerationId &candidate) const
{
    const std::lock_guard lock(mutex_);
    const bool isHeadGeneration = !head_.history.empty() && head_.current().generation == candidate.generation;
    if (!isHeadGeneration) {
        return Steering::unitGainHoldMs;
    }
    if (head_.history.size() == 1) {
        return 0;
    }
    const std::int64_t age = clock_.wall() - head_.current().wall;
    return std::clamp<std::int64_t>(Steering::unitGainHoldMs - age, 0, Steering::unitGainHoldMs);
}

std::int64_t ConfigurationFeed::loadStep()
{
    std::optional<Nodes::GenerationId> candidate;
    {
        const std::lock_guard lock(mutex_);
        candidate = candidate_;
    }
    const Nodes::GenerationId current = generations_.current();
    if (!candidate || candidate->generation <= current.generation) {
        return loadIdleMs;
    }
    if (current.generation == 0 && !mayApplyFirstGeneration()) {
        return loadRetryMs;
    }
    const auto outcome = generations_.apply(*candidate, [&](const std::string &digest) { return fetch(digest, candidate->generation); });
    switch (outcome.status) {
    case Nodes::ApplyStatus::Applied:
        engine_.setConfiguration(generations_.configuration(), firstHoldMs(*candidate));
        engine_.rebuild();
        mesh_.setState(candidate->generation, candidate->manifestDigest, engine_.isReady() && !engine_.isDraining());
        timeline_.record(Base::EventKind::GenerationInForce, candidate->generation, "configuration", "");
        return 0;
    case Nodes::ApplyStatus::Refused:
        if (lastReportedRejection_ != candidate->generation) {
            lastReportedRejection_ = candidate->generation;
            const std::string cause = outcome.error ? std::string(Platform::toString(outcome.error->failure)) : "refused before";
            timeline_.record(Base::EventKind::GenerationRefused, candidate->generation, "configuration", cause);
        }
        return loadIdleMs;
    case Nodes::ApplyStatus::Incomplete:
        return loadRetryMs;
    case Nodes::ApplyStatus::NotNewer:
        return loadIdleMs;
    }
    return loadIdleMs;
}

std::optional<std::string> ConfigurationFeed::fetch(const std::string &digest, std::uint64_t generation)
{
    // Peers are asked first: the call returns at once if none of them has the generation, while an unreachable
    // platform that drops packets would cost the whole timeout for each part.
    if (auto bytes = mesh_.fetchPart(digest, generation, partTimeoutMs)) {
        return bytes;
    }
    const auto value = Platform::tryStore([&] { return store_.get(Platform::partKey(digest)); });
    return value ? std::optional(value.value->value) : std::nullopt;
}

} // namespace Wasabistair::App
