#include "soakfleet.h"

#include <base/clock.h>
#include <standins/platformobjects.h>
#include <standins/ports.h>

#include <Poco/TemporaryFile.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sys/stat.h>

namespace Wasabistair::Soak {

namespace {

using Json = nlohmann::json;
using StandIns::RelayMode;

constexpr int delayMs = 300;
// The contract's bounds on leaving upstreams and zones, in ms.
constexpr std::int64_t drainBoundMs = 2'500;
constexpr std::int64_t evacuationBoundMs = 5'000;
constexpr int endedByItself = -1;

std::int64_t nowMs()
{
    return Base::monotonicMicroseconds() / 1'000;
}

std::string zoneName(int index)
{
    return index % 2 == 0 ? "a" : "b";
}

Json route(const std::string &prefix, const std::string &kind)
{
    return StandIns::routeObject(prefix, kind, 2'000, 3);
}

} // namespace

SoakFleet::SoakFleet(const Size &size, std::string logs)
    : size_(size)
    , logs_(std::move(logs))
    , directory_(Poco::TemporaryFile::tempName())
    , upstreamStates_(static_cast<std::size_t>(size.upstreams))
    , incarnations_(static_cast<std::size_t>(size.upstreams))
    , evacuations_(2)
{
    ::mkdir(directory_.c_str(), 0700);
    publishManifest();
    for (int i = 0; i < size_.upstreams; ++i) {
        upstreams_.push_back(std::make_unique<SoakUpstream>("u-" + std::to_string(i) + ".0", zoneName(i)));
        registerUpstream(*upstreams_.back(), "ready");
    }
    for (int i = 0; i < size_.vms; ++i) {
        prepareVm(i);
        start(*vms_.back(), i);
    }
}

SoakFleet::~SoakFleet()
{
    for (const auto &vm : vms_) {
        vm->process.reset();
        std::remove(vm->settingsFile.c_str());
    }
    std::remove(directory_.c_str());
}

void SoakFleet::prepareVm(int index)
{
    auto vm = std::make_unique<Vm>();
    vm->store = std::make_unique<StandIns::TcpRelay>(store_.port());
    vm->callerPort = StandIns::freePort();
    vm->settingsFile = directory_ + "/vm-" + std::to_string(index) + ".toml";
    std::ofstream(vm->settingsFile) << StandIns::entrySettings({"vm-" + std::to_string(index), zoneName(index), {{"a", "north"}, {"b", "north"}},
        vm->callerPort, StandIns::freePort(), StandIns::freePort(), StandIns::freePort(), StandIns::freePort(), vm->store->port()});
    vms_.push_back(std::move(vm));
}

void SoakFleet::start(Vm &vm, int index)
{
    ::setenv("WASABISTAIR_SETTINGS", vm.settingsFile.c_str(), 1);
    const std::string log = logs_.empty() ? "" : logs_ + "/vm-" + std::to_string(index) + ".log";
    vm.process = std::make_unique<StandIns::ChildProcess>("wasabistaird", std::vector<std::string>{"entry"}, log);
    vm.killed = false;
    vm.stopped = false;
    ++vm.starts;
}

void SoakFleet::registerUpstream(const SoakUpstream &upstream, const std::string &state)
{
    store_.put("servers", upstream.name(), StandIns::upstreamObject(upstream.port(), upstream.zone(), state));
}

void SoakFleet::replaceUpstream(int index)
{
    SoakUpstream &upstream = *upstreams_.at(static_cast<std::size_t>(index));
    const std::string before = upstream.name();
    store_.remove("servers", before);
    upstream.rename("u-" + std::to_string(index) + "." + std::to_string(++incarnations_.at(static_cast<std::size_t>(index))));
    registerUpstream(upstream, "ready");
}

void SoakFleet::publishManifest()
{
    const int version = manifestVersion_ + 1;
    Json routes = {{"safe", route("/safe/", "safe")}, {"once", route("/once/", "unsafe")}};
    for (int i = 1; i <= version; ++i) {
        const std::string name = "v" + std::to_string(i);
        routes[name] = route("/" + name + "/", "safe");
    }
    store_.put("config", "main", StandIns::manifestObject(version, routes));
    manifestVersion_ = version;
}

void SoakFleet::apply(const Fault &fault, bool begins)
{
    switch (partOf(fault.kind)) {
    case FaultPart::Vm:
        applyToVm(fault, begins);
        break;
    case FaultPart::Store:
    case FaultPart::WayToStore:
        applyToStore(fault, begins);
        break;
    case FaultPart::Upstream:
    case FaultPart::WayToUpstream:
        applyToUpstream(fault, begins);
        break;
    case FaultPart::Zone:
        evacuate(fault.target, begins);
        break;
    case FaultPart::Manifest:
        if (begins) {
            publishManifest();
        }
        break;
    }
}

void SoakFleet::applyToVm(const Fault &fault, bool begins)
{
    Vm &vm = *vms_.at(static_cast<std::size_t>(fault.target));
    switch (fault.kind) {
    case FaultKind::VmPaused:
        vm.process->signal(begins ? SIGSTOP : SIGCONT);
        break;
    case FaultKind::VmKilled:
        vm.heldDown += begins ? 1 : -1;
        if (begins) {
            vm.killed = true;
            vm.process->signal(SIGKILL);
        }
        break;
    case FaultKind::VmStopped:
        vm.heldDown += begins ? 1 : -1;
        if (begins) {
            vm.stopped = true;
            vm.process->signal(SIGTERM);
        }
        break;
    default:
        if (begins) {
            vm.process->signal(SIGHUP);
        }
        break;
    }
}

void SoakFleet::applyToRelay(FaultKind kind, StandIns::TcpRelay &relay, RelayState &state, int change)
{
    if (kind == FaultKind::StoreSilent || kind == FaultKind::UpstreamSilent) {
        state.silent += change;
    } else if (kind == FaultKind::StoreCut || kind == FaultKind::UpstreamCut) {
        state.cut += change;
    } else {
        state.delayed += change;
    }
    relay.setDelayMs(state.delayed > 0 ? delayMs : 0);
    relay.setMode(state.cut > 0 ? RelayMode::Cut : state.silent > 0 ? RelayMode::Silent : RelayMode::Pass);
}

void SoakFleet::applyToStore(const Fault &fault, bool begins)
{
    const int change = begins ? 1 : -1;
    switch (fault.kind) {
    case FaultKind::StoreBusy:
        busy_ += change;
        break;
    case FaultKind::StoreLosesAnswers:
        losesAnswers_ += change;
        break;
    case FaultKind::StoreForgets:
        if (begins) {
            store_.forgetHistory();
        }
        break;
    default: {
        Vm &vm = *vms_.at(static_cast<std::size_t>(fault.target));
        applyToRelay(fault.kind, *vm.store, vm.storeState, change);
        return;
    }
    }
    store_.setFaults({.busy = busy_ > 0, .loseWriteAnswers = losesAnswers_ > 0});
}

void SoakFleet::evacuate(int zone, bool begins)
{
    int &evacuations = evacuations_.at(static_cast<std::size_t>(zone));
    evacuations += begins ? 1 : -1;
    const std::lock_guard lock(mutex_);
    if (begins && evacuations == 1) {
        store_.put("evacuations", zoneName(zone), {{"zone", zoneName(zone)}});
        leavings_.push_back({"", zoneName(zone), nowMs(), 0, evacuationBoundMs});
    } else if (evacuations == 0) {
        for (Leaving &leaving : leavings_) {
            const bool ends = leaving.zone == zoneName(zone) && leaving.untilMs == 0;
            leaving.untilMs = ends ? nowMs() : leaving.untilMs;
        }
        store_.remove("evacuations", zoneName(zone));
    }
}

void SoakFleet::noteLeaving(const SoakUpstream &upstream)
{
    const std::lock_guard lock(mutex_);
    leavings_.push_back({upstream.name(), "", nowMs(), 0, drainBoundMs});
}

void SoakFleet::applyToUpstream(const Fault &fault, bool begins)
{
    const int change = begins ? 1 : -1;
    SoakUpstream &upstream = *upstreams_.at(static_cast<std::size_t>(fault.target));
    switch (fault.kind) {
    case FaultKind::UpstreamSpoils:
        upstream.spoils += change;
        break;
    case FaultKind::UpstreamFails:
        upstream.fails += change;
        break;
    case FaultKind::UpstreamSheds:
        upstream.sheds += change;
        break;
    case FaultKind::UpstreamDrains:
        if (begins) {
            registerUpstream(upstream, "draining");
            noteLeaving(upstream);
        } else {
            replaceUpstream(fault.target);
        }
        break;
    case FaultKind::UpstreamReplaced:
        if (begins) {
            noteLeaving(upstream);
            replaceUpstream(fault.target);
        }
        break;
    default:
        applyToRelay(fault.kind, upstream.relay(), upstreamStates_.at(static_cast<std::size_t>(fault.target)), change);
        break;
    }
}

void SoakFleet::tend()
{
    for (int i = 0; i < size_.vms; ++i) {
        Vm &vm = *vms_.at(static_cast<std::size_t>(i));
        const int code = vm.process->waitFor(1);
        if (code == endedByItself) {
            continue;
        }
        if (!vm.killed && !(vm.stopped && code == 0)) {
            const std::lock_guard lock(mutex_);
            findings_.push_back("vm-" + std::to_string(i) + " ended by itself with code " + std::to_string(code));
        }
        if (vm.heldDown <= 0) {
            start(vm, i);
        } else {
            // Keeps the finding from being noted again while it is down.
            vm.killed = true;
        }
    }
}

std::uint16_t SoakFleet::callerPort(int vm) const
{
    return vms_.at(static_cast<std::size_t>(vm))->callerPort;
}

int SoakFleet::vms() const
{
    return size_.vms;
}

int SoakFleet::starts(int vm) const
{
    return vms_.at(static_cast<std::size_t>(vm))->starts;
}

int SoakFleet::manifestVersion() const
{
    return manifestVersion_;
}

const std::vector<std::unique_ptr<SoakUpstream>> &SoakFleet::upstreams() const
{
    return upstreams_;
}

std::vector<Leaving> SoakFleet::leavings() const
{
    const std::lock_guard lock(mutex_);
    return leavings_;
}

std::vector<std::string> SoakFleet::findings() const
{
    const std::lock_guard lock(mutex_);
    return findings_;
}

} // namespace Wasabistair::Soak
