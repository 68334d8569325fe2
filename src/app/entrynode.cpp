#include "entrynode.h"

#include <base/attempt.h>
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

// The bound on regional shifts holds between adjacent windows of this length (the platform's contract).
constexpr std::int64_t shiftWindowMs = 2'000;
constexpr std::int64_t shareIntervalMs = 500;
constexpr int failureLinesPerSecond = 20;
constexpr int sampleLinesPerSecond = 5;
constexpr int lookupThreads = 64;
constexpr int readinessThreads = 4;
constexpr int metricsThreads = 2;
constexpr std::int64_t bytesPerMb = 1 << 20;
constexpr std::int64_t percent = 100;
// Some callers keep a look-up's answer three times as long as told.
constexpr std::int64_t lookupAgeFactor = 3;
// Part of the stop's grace, in percent, after which new requests are refused; the rest is for those under way.
constexpr std::int64_t refusePercent = 55;
// What remains of the grace when the process ends by itself; on a starved processor its last steps take hundreds of ms.
constexpr std::int64_t exitMarginMs = 600;
constexpr std::int64_t stopPollMs = 20;
// Threads that serve callers share descriptors with connections to upstreams.
constexpr std::int64_t descriptorsPerConnection = 2;
constexpr std::int64_t reservedDescriptors = 300;

Steering::EntryVm selfOf(const Adapter::MachineSettings &settings, std::uint64_t incarnation)
{
    const Steering::Whereabouts &place = settings.whereabouts;
    return {place.vm, place.zone, place.region, settings.peerAddress.host, settings.callerAddress.port, settings.peerAddress.port, incarnation,
        settings.processorShare, settings.linkMbps};
}

int connectionLimit(const Adapter::MachineSettings &settings, const EntryOptions &options)
{
    const std::int64_t byDescriptors = (settings.maxDescriptors - reservedDescriptors) / descriptorsPerConnection;
    return static_cast<int>(std::clamp<std::int64_t>(byDescriptors, 1, options.maxConnections));
}

InfoAnswer emptyAnswer(int status)
{
    return {status, "text/plain", ""};
}

} // namespace

EntryNode::EntryNode(const Adapter::MachineSettings &settings, const EntryOptions &options, const Base::Clock &clock, std::uint64_t seed)
    : settings_(settings)
    , lastRead_(settings)
    , options_(options)
    , clock_(clock)
    // Kept to 62 bits: the store's numbers may be signed.
    , self_(selfOf(settings, seed >> 2))
    , registry_(std::make_shared<prometheus::Registry>())
    , metrics_(*registry_)
    , roster_(std::make_shared<const Steering::Roster>())
    , channels_(clock)
    , flow_(settings.bounds.maxRegionShift, shiftWindowMs)
    , memory_(settings.memoryMb * bytesPerMb * options.bodyMemoryPercent / percent)
    , failureLog_(clock, failureLinesPerSecond)
    , sampleLog_(clock, sampleLinesPerSecond)
    , passContext_{clock, roster_, channels_, flow_, {settings.bounds.coldFactor, settings.bounds.coldSlack}, settings.bounds.retries, metrics_, stopDeadline_,
          sequence_, memory_, failureLog_, sampleLog_}
    , sessionContext_{passContext_, stopping_, refuseAfter_, active_, aheadThreads_}
    , board_(self_, options.peerSilenceMs)
    , news_(clock.monotonic())
    , link_(board_, news_, self_.ip, self_.peerPort, clock, seed)
    , feed_(settings, clock, storeCalls_, news_,
          {[this](auto roster) { onRoster(std::move(roster)); }, [this](const auto &vms) { board_.setRegistered(vms); }, [this] { link_.announceNews(); }},
          seed)
    , registration_(self_, settings.storeAddress, clock, storeCalls_)
    , random_(seed)
    , readiness_(settings.readinessAddress, readinessThreads, [this](const std::string &target) { return respond(target); })
    , lookups_(settings.lookupAddress, lookupThreads, [this](const std::string &target) { return respond(target); })
    , metricsServer_(settings.metricsAddress, metricsThreads, [this](const std::string &) { return metricsText(); })
    , entry_(sessionContext_, settings.callerAddress, connectionLimit(settings, options))
{
    feed_.start();
    registration_.start();
}

bool EntryNode::isReady() const
{
    const bool informed = roster_.read([](const Steering::Roster &roster) {
        return roster.manifest
            && std::any_of(roster.services.begin(), roster.services.end(), [](const auto &entry) { return !entry.second->upstreams.empty(); });
    });
    return informed && !stopping_;
}

void EntryNode::onRoster(std::shared_ptr<const Steering::Roster> roster)
{
    roster_.publish(std::move(roster));
    const bool ready = isReady();
    if (board_.selfReport().takesCallers != ready) {
        board_.setTakesCallers(ready);
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
    const auto vms = Steering::entriesFor(query->region, board_.takingCallers(clock_.monotonic()), random);
    if (vms.empty()) {
        return emptyAnswer(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
    }
    std::vector<Base::HostPort> addresses;
    for (const Steering::EntryVm &vm : vms) {
        addresses.push_back({vm.ip, vm.callerPort});
    }
    return {HTTPResponse::HTTP_OK, "application/json", Adapter::encodeLookupAnswer(addresses, std::min(options_.lookupAgeMs, settings_.bounds.maxLookupAgeMs))};
}

InfoAnswer EntryNode::metricsText() const
{
    std::ostringstream text;
    prometheus::TextSerializer().Serialize(text, registry_->Collect());
    for (std::size_t i = 0; i < Adapter::storeCallCount; ++i) {
        const auto call = static_cast<Adapter::StoreCall>(i);
        text << "wasabistair_store_calls_total{call=\"" << Adapter::toString(call) << "\"} " << storeCalls_.calls(call) << "\n";
    }
    return {HTTPResponse::HTTP_OK, "text/plain; version=0.0.4", text.str()};
}

void EntryNode::tick()
{
    const Base::MonotonicMs now = clock_.monotonic();
    if (now - sharesUpdatedAt_ < shareIntervalMs) {
        return;
    }
    updateLocalShares(now);
    channels_.closeExpired();
    logLeftOut();
}

void EntryNode::updateLocalShares(Base::MonotonicMs now)
{
    const std::int64_t elapsed = std::min(now - sharesUpdatedAt_, 2 * shareIntervalMs);
    sharesUpdatedAt_ = now;
    const auto roster = roster_.hold();
    std::set<std::string> regions;
    for (const auto &[zone, region] : settings_.whereabouts.regionOfZone) {
        regions.insert(region);
    }
    for (const auto &[name, service] : roster->services) {
        const Steering::RegionRoom room = Steering::regionRoom(*service, now);
        const double share = service->record->localShare.load();
        if (room.localSlots + room.remoteSlots <= 0) {
            continue;
        }
        const bool unknown = share < 0 || service->record->requests.load() == 0;
        service->record->localShare.store(
            unknown ? Steering::initialLocalShare(room, static_cast<int>(regions.size())) : Steering::nextLocalShare(share, room, elapsed));
    }
}

void EntryNode::logLeftOut()
{
    const std::uint64_t failures = failureLog_.takeLeftOut();
    const std::uint64_t samples = sampleLog_.takeLeftOut();
    if (failures + samples > 0) {
        Base::log(Base::LogLevel::Warning, "lines-left-out", {{"failures", failures}, {"samples", samples}});
    }
}

void EntryNode::reload(const std::string &path, bool asked)
{
    auto read = Base::attempt<Adapter::SettingsError>([&] { return Adapter::readSettingsFile(path); }, Adapter::SettingsError{});
    if (!read) {
        Base::log(Base::LogLevel::Error, "settings-refused", {{"cause", Adapter::toString(*read.error)}});
        return;
    }
    const bool changed = *read.value != lastRead_;
    if (!asked && !changed) {
        return;
    }
    lastRead_ = *read.value;
    Base::log(Base::LogLevel::Info, "settings-read", {{"file", path}, {"changed", changed ? "yes" : "no"}});
}

void EntryNode::stop()
{
    const Base::MonotonicMs begin = clock_.monotonic();
    const std::int64_t grace = settings_.bounds.stopGraceMs;
    const auto peers = board_.takingCallers(begin);
    Base::log(Base::LogLevel::Info, "stopping", {{"vm", self_.name}, {"active", active_.load()}, {"graceMs", grace}});
    stopping_ = true;
    board_.setTakesCallers(false);
    link_.announce(peers);
    refuseAfter_ = begin + grace * refusePercent / percent;
    stopDeadline_ = begin + grace - exitMarginMs;
    const Base::MonotonicMs quietFrom = begin + std::min(lookupAgeFactor * options_.lookupAgeMs, grace - exitMarginMs);
    while (clock_.monotonic() < stopDeadline_ && (active_ > 0 || clock_.monotonic() < quietFrom)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(stopPollMs));
    }
    logLeftOut();
    Base::log(Base::LogLevel::Info, "stopped", {{"vm", self_.name}, {"active", active_.load()}, {"tookMs", clock_.monotonic() - begin}});
}

} // namespace Wasabistair::App
