#include "fleet.h"

#include "ports.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <thread>

namespace Wasabistair::StandIns {

namespace {

constexpr int platformTimeoutMs = 3'000;
constexpr int statusTimeoutMs = 2'000;

std::string zoneOf(const std::string &region, int index)
{
    return region + (index % 2 == 0 ? "-a" : "-b");
}

nlohmann::json getJson(const Base::HostPort &address, const std::string &path)
{
    try {
        Poco::Net::HTTPClientSession session(address.host, address.port);
        session.setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(statusTimeoutMs) * Poco::Timespan::MILLISECONDS));
        Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::istream &in = session.receiveResponse(response);
        const std::string body{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
        return nlohmann::json::parse(body, nullptr, false);
    } catch (const Poco::Exception &) {
        return nlohmann::json::object();
    }
}

} // namespace

void sleepMs(int milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

Fleet::Fleet(FleetPlan plan)
    : plan_(std::move(plan))
    , store_({"127.0.0.1", platform_.port()}, platformTimeoutMs)
{
    for (const std::string &region : plan_.regions) {
        for (int i = 0; i < plan_.upstreamsPerRegion; ++i) {
            UpstreamSettings settings;
            settings.name = region + "-server-" + std::to_string(i);
            settings.slots = plan_.slots;
            settings.queue = plan_.queue;
            settings.serviceMs = plan_.serviceMs;
            upstreams_.push_back(std::make_unique<FakeUpstream>(settings));
            upstreamPorts_.push_back(upstreams_.back()->port());
        }
        for (int i = 0; i < plan_.entryVmsPerRegion; ++i) {
            EntryVm entry;
            entry.vm = {region + "-entry-" + std::to_string(i), Steering::VmKind::Entry, Steering::VmState::Live, "127.0.0.1", freePort(), freePort(), region,
                zoneOf(region, i), "", 0};
            vms_.push_back(std::move(entry));
            platformPorts_.push_back(plan_.platformPort != 0 ? plan_.platformPort : platform_.port());
        }
    }
    publishVmList();
}

Steering::ObjectSet Fleet::objects() const
{
    Steering::ObjectSet set;
    Steering::Service service;
    service.name = plan_.service;
    service.hosts = {plan_.host};
    service.pathPrefix = "/";
    service.deadlineMs = 10'000;
    service.progressTimeoutMs = 3'000;
    service.queueWaitMs = 200;
    service.maxAttempts = 3;
    service.retryPercent = 10;
    service.cancelMs = 500;
    service.maxBodyBytes = 64 << 20;
    service.lookupMaxAgeSeconds = 1;
    set.services = {service};
    Steering::Fleet fleet{"fleet", {}};
    for (const std::string &region : plan_.regions) {
        const std::vector<std::string> zones = {zoneOf(region, 0), zoneOf(region, 1)};
        set.places.push_back({plan_.service + "-" + region, plan_.service, region, zones, plan_.upstreamsPerRegion, plan_.slots, plan_.queue, 400, 75, 0});
        set.sites.push_back({region, region, zones});
        fleet.regions.push_back({region, plan_.entryVmsPerRegion});
    }
    for (std::size_t i = 0; i < plan_.regions.size(); ++i) {
        for (std::size_t j = i + 1; j < plan_.regions.size(); ++j) {
            set.links.push_back({plan_.regions[i] + "-" + plan_.regions[j], {plan_.regions[i], plan_.regions[j]}, 4'000, 20, 50});
        }
    }
    set.fleets = {fleet};
    Steering::ObjectSet ordered = Steering::objectsFromJson(Steering::objectsToJson(set));
    ordered.clientBlocks = {{0x7f000000, 8, plan_.regions.front()}};
    return ordered;
}

std::uint64_t Fleet::publish(const Steering::ObjectSet &objects)
{
    const auto head = Platform::tryStore([&] { return Platform::readHead(store_); });
    if (!head) {
        return 0;
    }
    const std::string token = "test-" + std::to_string(++publishCount_);
    const auto outcome = Platform::publish(store_, Platform::encodeContent(objects), *head.value, token, Base::SystemClock().wall());
    return outcome.status == Platform::PublishStatus::Accepted ? outcome.generation : 0;
}

std::vector<Steering::Vm> Fleet::upstreamVms() const
{
    std::vector<Steering::Vm> vms;
    std::size_t index = 0;
    for (const std::string &region : plan_.regions) {
        for (int i = 0; i < plan_.upstreamsPerRegion; ++i, ++index) {
            vms.push_back({region + "-server-" + std::to_string(i), Steering::VmKind::Upstream, Steering::VmState::Live, "127.0.0.1", upstreamPorts_[index], 0,
                region, zoneOf(region, i), plan_.service, 0});
        }
    }
    return vms;
}

void Fleet::publishVmList(const std::vector<std::string> &removed, const std::vector<std::string> &leaving)
{
    std::vector<Steering::Vm> vms = upstreamVms();
    for (const EntryVm &entry : vms_) {
        vms.push_back(entry.vm);
    }
    std::erase_if(vms, [&](const Steering::Vm &vm) { return std::find(removed.begin(), removed.end(), vm.id) != removed.end(); });
    for (Steering::Vm &vm : vms) {
        if (std::find(leaving.begin(), leaving.end(), vm.id) != leaving.end()) {
            vm.state = Steering::VmState::Leaving;
        }
    }
    platform_.setVms(vms);
}

void Fleet::setUpstreamPort(std::size_t index, std::uint16_t port)
{
    upstreamPorts_[index] = port;
}

void Fleet::setPlatformPort(std::size_t vm, std::uint16_t port)
{
    platformPorts_[vm] = port;
}

void Fleet::startVms()
{
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        startVm(i);
    }
}

void Fleet::startVm(std::size_t index, const std::vector<std::string> &extraArguments)
{
    EntryVm &entry = vms_[index];
    std::vector<std::string> arguments = {"--vm=" + entry.vm.id, "--region=" + entry.vm.region, "--zone=" + entry.vm.zone,
        "--caller-address=127.0.0.1:" + std::to_string(entry.vm.port), "--node-address=127.0.0.1:" + std::to_string(entry.vm.nodePort),
        "--platform=127.0.0.1:" + std::to_string(platformPorts_[index]), "--report-interval-ms=1000"};
    arguments.insert(arguments.end(), plan_.extraSettings.begin(), plan_.extraSettings.end());
    arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
    const char *logs = std::getenv("WASABISTAIR_TEST_LOGS");
    entry.process.reset();
    entry.process = std::make_unique<ChildProcess>("wasabistaird", arguments, logs ? std::string(logs) + "/" + entry.vm.id + ".log" : "");
}

std::vector<std::size_t> Fleet::notReady(std::uint64_t generation) const
{
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (!vms_[i].process || !vms_[i].process->isRunning()) {
            continue;
        }
        const nlohmann::json json = status(i);
        if (!json.value("ready", false) || json.value("generation", std::uint64_t{0}) < generation) {
            result.push_back(i);
        }
    }
    return result;
}

bool Fleet::awaitReady(std::uint64_t generation, int milliseconds)
{
    if (eventually([&] { return notReady(generation).empty(); }, milliseconds)) {
        return true;
    }
    for (const std::size_t i : notReady(generation)) {
        std::fprintf(stderr, "%s (%s) is not ready with generation %llu: %s\n", vms_[i].vm.id.c_str(), vms_[i].process->describeState().c_str(),
            static_cast<unsigned long long>(generation), status(i).dump().c_str());
    }
    const auto slots = Platform::tryStore([&] { return store_.get("wasabistair/slots/" + plan_.regions.front()); });
    std::fprintf(stderr, "slots of %s: %s\n", plan_.regions.front().c_str(), slots ? slots.value->value.c_str() : "none");
    return false;
}

nlohmann::json Fleet::status(std::size_t index) const
{
    const nlohmann::json json = getJson(vms_[index].address(), "/v1/status");
    return json.is_object() ? json : nlohmann::json::object();
}

FakePlatform &Fleet::platform()
{
    return platform_;
}

Platform::ObjectStore &Fleet::store()
{
    return store_;
}

std::vector<EntryVm> &Fleet::vms()
{
    return vms_;
}

std::vector<std::unique_ptr<FakeUpstream>> &Fleet::upstreams()
{
    return upstreams_;
}

std::vector<Base::HostPort> Fleet::entries() const
{
    std::vector<Base::HostPort> addresses;
    for (const EntryVm &entry : vms_) {
        addresses.push_back(entry.address());
    }
    return addresses;
}

LoadPlan Fleet::load(int milliseconds, int callers) const
{
    LoadPlan load;
    load.entries = entries();
    load.host = plan_.host;
    load.callers = callers;
    load.durationMs = milliseconds;
    return load;
}

const FleetPlan &Fleet::plan() const
{
    return plan_;
}

std::map<std::string, int> Fleet::runCountsById() const
{
    std::map<std::string, int> runs;
    for (const auto &upstream : upstreams_) {
        for (const RunRecord &record : upstream->record()) {
            ++runs[record.id];
        }
    }
    return runs;
}

} // namespace Wasabistair::StandIns
