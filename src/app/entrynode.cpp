#include "entrynode.h"

#include <base/captureerror.h>
#include <platform/lookupapi.h>
#include <steering/lookup.h>

#include <prometheus/text_serializer.h>

#include <Poco/Net/HTTPResponse.h>

#include <chrono>
#include <set>
#include <sstream>
#include <thread>

namespace Wasabistair::App {

namespace {

using Poco::Net::HTTPResponse;

// The platform's contract limits how much traffic may shift between regions from one window of this length to the next.
constexpr std::int64_t regionShiftWindowMs = 2'000;
constexpr std::int64_t localShareIntervalMs = 500;
constexpr int maxFailureLinesPerSecond = 20;
constexpr int maxSampleLinesPerSecond = 5;
constexpr int lookupThreads = 64;
constexpr int readinessThreads = 4;
constexpr int metricsThreads = 2;
constexpr std::int64_t bytesPerMb = 1 << 20;
constexpr std::int64_t percent = 100;
constexpr std::int64_t stopPollMs = 20;
constexpr std::int64_t lastAnswersPollMs = 2;
// Longest time to accept the connections that wait when the port is closed.
constexpr std::int64_t closePortTimeoutMs = 100;
// A caller connection and the connection to an upstream that it uses take one file descriptor each.
constexpr std::int64_t descriptorsPerConnection = 2;
constexpr std::int64_t reservedDescriptors = 300;
// With few descriptors, this part of them is reserved.
constexpr std::int64_t reservedDescriptorsDivisor = 2;

Steering::EntryVm ownEntryVm(const Adapter::VmSettings &settings, std::uint64_t incarnation)
{
    const Steering::Locality &place = settings.locality;
    return {place.vm, place.zone, place.region, settings.peerAddress.host, settings.callerAddress.port, settings.peerAddress.port, incarnation,
        settings.processorShare, settings.linkMbps};
}

int connectionLimit(const Adapter::VmSettings &settings, const EntryOptions &options, std::int64_t descriptorLimit)
{
    const std::int64_t descriptors = std::min(settings.maxDescriptors, descriptorLimit);
    const std::int64_t reserved = std::min(reservedDescriptors, descriptors / reservedDescriptorsDivisor);
    const std::int64_t byDescriptors = (descriptors - reserved) / descriptorsPerConnection;
    return static_cast<int>(std::clamp<std::int64_t>(byDescriptors, 1, options.maxConnections));
}

std::set<std::string> regionsOf(const Steering::Locality &locality)
{
    std::set<std::string> regions;
    for (const auto &[zone, region] : locality.regionOfZone) {
        regions.insert(region);
    }
    return regions;
}

Steering::QuotaTerms quotaTerms(const Steering::Locality &locality, const Adapter::QuotaTolerance &tolerance)
{
    // Tokens used late are covered by four fifths of the tolerated overage; the rest is for clocks that run unevenly.
    constexpr double lateUsePart = 0.8;
    constexpr double minTokenLifeMs = 50;
    constexpr double extraBurstPart = 0.5;
    const std::size_t regions = regionsOf(locality).size();
    const std::size_t parts = regions > 1 ? regions : locality.regionOfZone.size();
    const double lifeMs = lateUsePart * tolerance.overage * static_cast<double>(tolerance.windowMs);
    return {std::max(1, static_cast<int>(parts)), static_cast<std::int64_t>(std::max(minTokenLifeMs, lifeMs)), extraBurstPart * tolerance.slack};
}

std::shared_ptr<const Callers::RequestLimits> requestLimits(const Adapter::ContractBounds &bounds, const EntryOptions &options)
{
    return std::make_shared<const Callers::RequestLimits>(
        Callers::RequestLimits{{bounds.coldFactor, bounds.coldSlack, options.placement}, bounds.retries, bounds.revocation});
}

InfoAnswer emptyAnswer(int status)
{
    return {status, "text/plain", ""};
}

} // namespace

EntryNode::EntryNode(
    const Adapter::VmSettings &settings, const EntryOptions &options, const Base::Clock &clock, std::uint64_t seed, std::int64_t descriptorLimit)
    : settings_(settings)
    , lastReadSettings_(settings)
    , bounds_(std::make_shared<const Adapter::ContractBounds>(settings.bounds))
    , options_(options)
    , clock_(clock)
    // Limited to 62 bits because the store's integers may be signed.
    , self_(ownEntryVm(settings, seed >> 2))
    , registry_(std::make_shared<prometheus::Registry>())
    , metrics_(*registry_)
    , snapshot_(std::make_shared<const Steering::RoutingSnapshot>())
    , requestLimits_(requestLimits(settings.bounds, options))
    , idleConnections_(clock)
    , regionShiftLimiter_(settings.bounds.maxRegionShift, regionShiftWindowMs)
    , bodyMemory_(settings.memoryMb * bytesPerMb * options.bodyMemoryPercent / percent)
    , failureLog_(clock, maxFailureLinesPerSecond)
    , sampleLog_(clock, maxSampleLinesPerSecond)
    , placement_(options.placement, static_cast<int>(regionsOf(settings.locality).size()))
    , teamLimiter_(self_, regionsOf(settings.locality).size() <= 1, quotaTerms(settings.locality, settings.bounds.quota), clock)
    , dispatchContext_{clock, snapshot_, idleConnections_, regionShiftLimiter_, requestLimits_, teamLimiter_, metrics_, intake_.stopDeadline(),
          requestSequence_, bodyMemory_, failureLog_, sampleLog_, options.admission, [this] { return configurationState(); }}
    , sessionContext_{dispatchContext_, intake_, pipelineThreads_}
    , peers_(self_, options.peerSilenceMs)
    , storeRevisions_(clock.monotonic())
    , heartbeats_(peers_, storeRevisions_, self_.ip, self_.peerPort, clock, seed)
    , feed_(settings, clock, storeCalls_, storeRevisions_,
          {[this](auto snapshot) { onRoutingSnapshot(std::move(snapshot)); }, [this](const auto &vms) { onVms(vms); },
              [this] { heartbeats_.announceRevisions(); }},
          seed)
    , registration_(self_, settings.storeAddress, clock, storeCalls_, storeRevisions_.eras(), seed)
    , random_(seed)
    , readinessServer_(settings.readinessAddress, readinessThreads, [this](const std::string &target) { return respond(target); })
    , lookupServer_(settings.lookupAddress, lookupThreads, [this](const std::string &target) { return respond(target); })
    , metricsServer_(settings.metricsAddress, metricsThreads, [this](const std::string &) { return metricsText(); })
    , entryServer_(sessionContext_, settings.callerAddress, connectionLimit(settings, options, descriptorLimit))
{}

void EntryNode::start()
{
    feed_.start();
    registration_.start();
}

bool EntryNode::isReady() const
{
    const bool hasUpstreams = snapshot_.read([](const Steering::RoutingSnapshot &snapshot) {
        return snapshot.manifest
            && std::any_of(snapshot.services.begin(), snapshot.services.end(), [](const auto &entry) { return !entry.second->upstreams.empty(); });
    });
    return hasUpstreams && !intake_.isStopping();
}

void EntryNode::onVms(const std::map<std::string, Steering::EntryVm> &vms)
{
    peers_.setRegisteredVms(vms);
    teamLimiter_.addRegisteredVms(vms);
}

void EntryNode::onRoutingSnapshot(std::shared_ptr<const Steering::RoutingSnapshot> snapshot)
{
    if (snapshot->manifest && snapshot->manifest != limitedManifest_) {
        limitedManifest_ = snapshot->manifest;
        teamLimiter_.setTeams(limitedManifest_->teams);
    }
    snapshot_.publish(std::move(snapshot));
    const bool ready = isReady();
    if (peers_.selfReport().acceptsCallers != ready) {
        peers_.setAcceptsCallers(ready);
        Base::log(Base::LogLevel::Info, ready ? "ready" : "not-ready", {{"vm", self_.name}});
    }
}

InfoAnswer EntryNode::respond(const std::string &target)
{
    if (Adapter::isReadinessCheck(target)) {
        return emptyAnswer(isReady() ? HTTPResponse::HTTP_OK : HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    }
    return lookup(target);
}

InfoAnswer EntryNode::lookup(const std::string &target)
{
    const auto query = Adapter::decodeLookup(target);
    if (!query) {
        return emptyAnswer(HTTPResponse::HTTP_NOT_FOUND);
    }
    const auto random = [this] {
        const std::lock_guard lock(randomMutex_);
        return std::uniform_real_distribution<double>(0, 1)(random_);
    };
    const auto vms = Steering::selectEntryVms(query->region, peers_.vmsAcceptingCallers(clock_.monotonic()), random);
    if (vms.empty()) {
        return emptyAnswer(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    }
    std::vector<Base::HostPort> addresses;
    for (const Steering::EntryVm &vm : vms) {
        addresses.push_back({vm.ip, vm.callerPort});
    }
    return {HTTPResponse::HTTP_OK, "application/json", Adapter::encodeLookupAnswer(addresses, lookupAgeMs())};
}

InfoAnswer EntryNode::metricsText() const
{
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, registry_->Collect());
    for (std::size_t i = 0; i < Adapter::storeCallCount; ++i) {
        const auto call = static_cast<Adapter::StoreCall>(i);
        text << "wasabistair_store_calls_total{call=\"" << Adapter::toString(call) << "\"} " << storeCalls_.calls(call) << "\n";
    }
    const std::uint64_t version
        = snapshot_.read([](const Steering::RoutingSnapshot &snapshot) { return snapshot.manifest ? snapshot.manifest->version : std::uint64_t{0}; });
    placement_.write(text, *snapshot_.load());
    text << "wasabistair_manifest_version " << version << "\n";
    const Steering::ConfigurationState configuration = configurationState();
    text << "wasabistair_manifest_behind " << (configuration.isBehind ? 1 : 0) << "\n";
    text << "wasabistair_manifest_confirmed_age_ms " << configuration.confirmedAgeMs.value_or(-1) << "\n";
    text << "wasabistair_store_era " << storeRevisions_.eras().confirmed() << "\n";
    text << "wasabistair_store_restores_total " << storeRevisions_.eras().restores() << "\n";
    const Nodes::ChangeRevisions read = storeRevisions_.ownRevisions();
    for (std::size_t i = 0; i < Nodes::changeKindCount; ++i) {
        const auto kind = static_cast<Nodes::StoreChangeKind>(i);
        text << "wasabistair_store_revision_read{kind=\"" << Nodes::toString(kind) << "\"} " << read.at(i) << "\n";
        text << "wasabistair_store_revision_known{kind=\"" << Nodes::toString(kind) << "\"} " << storeRevisions_.latestRevision(kind) << "\n";
    }
    text << teamLimiter_.metricsText();
    return {HTTPResponse::HTTP_OK, "text/plain; version=0.0.4", text.str()};
}

Steering::ConfigurationState EntryNode::configurationState() const
{
    Steering::ConfigurationState state;
    state.isBehind = storeRevisions_.isBehind(Nodes::StoreChangeKind::Configuration);
    if (const auto confirmedAt = storeRevisions_.configurationConfirmedAt()) {
        state.confirmedAgeMs = clock_.monotonic() - *confirmedAt;
    }
    return state;
}

void EntryNode::tick()
{
    const Base::MonotonicMs now = clock_.monotonic();
    if (now - localSharesUpdatedAt_ < localShareIntervalMs) {
        return;
    }
    registration_.checkEra();
    updateLocalShares(now);
    if (teamLimiter_.isInUse()) {
        registration_.settle();
    }
    if (teamLimiter_.takeConfirmable()) {
        registration_.confirmKeeper();
    }
    idleConnections_.closeExpired();
    logSuppressedLines();
}

void EntryNode::updateLocalShares(Base::MonotonicMs now)
{
    const std::int64_t elapsed = std::min(now - localSharesUpdatedAt_, 2 * localShareIntervalMs);
    localSharesUpdatedAt_ = now;
    placement_.update(*snapshot_.load(), elapsed, now);
}

void EntryNode::logSuppressedLines()
{
    const std::uint64_t failures = failureLog_.takeSuppressedCount();
    const std::uint64_t samples = sampleLog_.takeSuppressedCount();
    if (failures + samples > 0) {
        Base::log(Base::LogLevel::Warning, "lines-left-out", {{"failures", failures}, {"samples", samples}});
    }
}

void EntryNode::reload(const std::string &path, bool requested)
{
    auto read = Base::captureError<Adapter::SettingsError>([&] { return Adapter::readSettingsFile(path); }, Adapter::SettingsError{});
    if (!read) {
        Base::log(Base::LogLevel::Error, "settings-refused", {{"cause", Adapter::toString(*read.error)}});
        return;
    }
    const bool changed = *read.value != lastReadSettings_;
    if (!requested && !changed) {
        return;
    }
    lastReadSettings_ = *read.value;
    if (changed) {
        applyBounds(lastReadSettings_.bounds);
    }
    Adapter::VmSettings appliedSettings = settings_;
    appliedSettings.bounds = lastReadSettings_.bounds;
    Base::log(Base::LogLevel::Info, "settings-read",
        {{"file", path}, {"changed", changed ? "yes" : "no"}, {"needsRestart", appliedSettings == lastReadSettings_ ? "no" : "yes"},
            {"graceMs", stopGraceMs()}});
}

void EntryNode::applyBounds(const Adapter::ContractBounds &bounds)
{
    bounds_.publish(std::make_shared<const Adapter::ContractBounds>(bounds));
    requestLimits_.publish(requestLimits(bounds, options_));
    regionShiftLimiter_.setMaxShift(bounds.maxRegionShift);
    teamLimiter_.setTerms(quotaTerms(settings_.locality, bounds.quota));
}

std::int64_t EntryNode::stopGraceMs() const
{
    return bounds_.read([](const Adapter::ContractBounds &bounds) { return bounds.stopGraceMs; });
}

std::int64_t EntryNode::lookupAgeMs() const
{
    return std::min(options_.lookupAgeMs, bounds_.read([](const Adapter::ContractBounds &bounds) { return bounds.maxLookupAgeMs; }));
}

void EntryNode::stop(Base::MonotonicMs requestedAt)
{
    // The grace period counts from the request to stop, which a process on a busy processor, or one that has just started, notices later.
    const Base::MonotonicMs begin = requestedAt;
    const std::int64_t grace = stopGraceMs();
    const auto peers = peers_.vmsAcceptingCallers(begin);
    Base::log(Base::LogLevel::Info, "stopping",
        {{"vm", self_.name}, {"active", intake_.activeRequests()}, {"graceMs", grace}, {"noticedAfterMs", clock_.monotonic() - begin}});
    stopPlan_ = Steering::planStop(begin, grace, options_.lookupAgeMs);
    intake_.beginStop(stopPlan_);
    peers_.setAcceptsCallers(false);
    heartbeats_.announce(peers);
    while (!Steering::mayEndIntake(stopPlan_, intake_.activeRequests(), clock_.monotonic())) {
        std::this_thread::sleep_for(std::chrono::milliseconds(stopPollMs));
    }
    endIntake();
    Base::log(Base::LogLevel::Info, "stopped", {{"vm", self_.name}, {"active", intake_.activeRequests()}, {"tookMs", clock_.monotonic() - begin}});
}

void EntryNode::abandonStart()
{
    stopPlan_ = Steering::planStop(clock_.monotonic(), stopGraceMs(), 0);
    intake_.beginStop(stopPlan_);
    endIntake();
}

void EntryNode::endIntake()
{
    intake_.end();
    Base::log(Base::LogLevel::Info, "intake-ended", {{"vm", self_.name}, {"active", intake_.activeRequests()}});
    awaitLastAnswers();
    entryServer_.stopListening(closePortTimeoutMs);
    logSuppressedLines();
}

void EntryNode::awaitLastAnswers() const
{
    while (!Steering::mayExit(stopPlan_, intake_.activeRequests(), clock_.monotonic())) {
        std::this_thread::sleep_for(std::chrono::milliseconds(lastAnswersPollMs));
    }
}

} // namespace Wasabistair::App
