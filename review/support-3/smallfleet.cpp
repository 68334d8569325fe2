#include "smallfleet.h"

#include <standins/ports.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>
#include <Poco/Timespan.h>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/stat.h>

namespace Wasabistair::Review {

namespace {

using Json = nlohmann::json;

constexpr int readyTimeoutMs = 20'000;
constexpr int callTimeoutMs = 3'000;
constexpr int pollMs = 10;
constexpr int keys = 400;
constexpr std::int64_t msPerSecond = 1'000;
// Objects in one answer to a list, by the page.
constexpr std::size_t listPageSize = 500;
constexpr int statusOk = 200;
// As many ports as the range of a VM in the users' example.
constexpr int innerPorts = 16;

Json route(const std::string &prefix, const std::string &kind)
{
    return {{"host", "h.example"}, {"path-prefix", prefix}, {"kind", kind}, {"timeout-ms", 2'000}, {"target-latency-ms", 300}, {"priority", 1},
        {"service", "svc"}, {"max-attempts", 2}, {"sticky", true}, {"home-regions", Json::array()}};
}

std::string quotedLoopback(std::uint16_t port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

} // namespace

Answer send(std::uint16_t port, const Call &call, int timeoutMs)
{
    Answer answer;
    try {
        Poco::Net::HTTPClientSession session("127.0.0.1", port);
        session.setTimeout(Poco::Timespan(static_cast<Poco::Timespan::TimeDiff>(timeoutMs) * Poco::Timespan::MILLISECONDS));
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.set("Host", "h.example");
        for (const auto &[name, value] : call.headers) {
            request.set(name, value);
        }
        if (!call.body.empty()) {
            request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
        }
        session.sendRequest(request) << call.body << std::flush;
        Poco::Net::HTTPResponse response;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), answer.body);
        answer.status = response.getStatus();
        answer.retryAfter = response.get("Retry-After", "");
    } catch (const Poco::Exception &) {
        // No answer came, which status 0 says.
        return {};
    }
    return answer;
}

Upstream::Upstream(std::string id, std::string zone, int workMs, Record &record)
    : id_(std::move(id))
    , zone_(std::move(zone))
    , workMs_(workMs)
    , bornMs_(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , record_(record)
    , server_([this](const StandIns::ReceivedRequest &request) { return answer(request); })
{}

const std::string &Upstream::id() const
{
    return id_;
}

const std::string &Upstream::zone() const
{
    return zone_;
}

std::vector<Arrival> Upstream::arrivals() const
{
    const std::lock_guard lock(mutex_);
    return arrivals_;
}

Json Upstream::registration(const std::string &state, int sequence) const
{
    return {{"address", "127.0.0.1:" + std::to_string(server_.port())}, {"born", bornMs_},
        {"info", {{"service", "svc"}, {"version", "v1"}, {"zone", zone_}, {"slots", 4}}},
        {"status", {{"state", state}, {"seq", sequence}, {"cold-left-ms", 0}}}};
}

void Upstream::setLeaving()
{
    leaving_ = true;
}

void Upstream::setEnd(std::int64_t atMs)
{
    endAtMs_ = atMs;
}

std::vector<std::string> Upstream::cutRequests() const
{
    const std::lock_guard lock(mutex_);
    return cutRequests_;
}

StandIns::ScriptedAnswer Upstream::answer(const StandIns::ReceivedRequest &request)
{
    const std::string requestId = request.header("X-Request-Id");
    const std::int64_t beginMs = nowMs();
    StandIns::ScriptedAnswer noAnswer;
    noAnswer.resetAfter = true;
    if (beginMs >= endAtMs_) {
        return noAnswer;
    }
    if (request.header("X-Target-Instance") != id_) {
        return {"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id_ + "\r\nX-Request-Id: " + requestId + "\r\nContent-Length: 0\r\n\r\n"};
    }
    {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back({beginMs, id_, requestId});
    }
    record_.write("run      " + requestId + " at " + id_ + " in zone " + zone_);
    if (const std::int64_t endMs = endAtMs_; beginMs + workMs_ > endMs) {
        const std::lock_guard lock(mutex_);
        cutRequests_.push_back(requestId);
        noAnswer.delayMs = static_cast<int>(endMs - beginMs);
        return noAnswer;
    }
    const std::string leaving = leaving_ ? "Server-Leaving: 1\r\n" : "";
    return {StandIns::ScriptedUpstream::completeAnswer(request, statusOk, "answer of " + id_, "X-Server-Load: 1,0,4\r\n" + leaving), workMs_};
}

SmallFleet::SmallFleet(Record &record, std::map<std::string, std::string> regionOfZone, std::vector<std::string> bounds)
    : record_(record)
    , regionOfZone_(std::move(regionOfZone))
    , bounds_(std::move(bounds))
    , directory_(Poco::TemporaryFile::tempName())
    , store_(listPageSize)
    , storePort_(store_.port())
{
    if (::mkdir(directory_.c_str(), S_IRWXU) != 0) {
        throw std::runtime_error("no temporary folder");
    }
    store_.stateEras();
}

SmallFleet::~SmallFleet()
{
    stopCallers();
    processes_.clear();
    for (const std::string &file : settingsFiles_) {
        std::remove(file.c_str());
    }
    std::remove(directory_.c_str());
}

void SmallFleet::addUpstream(const std::string &id, const std::string &zone, int workMs)
{
    upstreams_.push_back(std::make_unique<Upstream>(id, zone, workMs, record_));
    store_.put("servers", id, upstreams_.back()->registration("ready", 1));
}

void SmallFleet::addVm(const std::string &zone)
{
    places_.push_back({"front-" + zone + "-" + std::to_string(places_.size() + 1), zone, StandIns::freePort(), StandIns::freePort(), StandIns::freePort()});
}

void SmallFleet::addService(const std::string &name)
{
    services_.push_back(name);
}

void SmallFleet::setStorePort(std::uint16_t port)
{
    storePort_ = port;
}

void SmallFleet::putManifest(int version)
{
    const Json service = {{"health-path", "/health"}, {"max-connections", 300}, {"cold-start-s", 3.0}, {"cold-per-s", 14.0}};
    Json manifest
        = {{"version", version}, {"routes", {{"reads", route("/reads/", "safe")}, {"orders", route("/orders/", "unsafe")}}}, {"services", {{"svc", service}}},
            {"limits", {{"max-header-bytes", 16'384}, {"max-body-bytes", 1'048'576}, {"header-timeout-ms", 5'000}, {"idle-timeout-ms", 15'000}}}};
    for (const std::string &name : services_) {
        manifest["routes"][name] = route("/" + name + "/", "safe");
        manifest["routes"][name]["service"] = name;
        manifest["services"][name] = service;
    }
    store_.put("config", "main", manifest);
}

std::string SmallFleet::settingsOf(const EntryPlace &place) const
{
    // The VM uses the first two ports and the last one of the range; on one address the ports of several VMs must differ.
    std::uint16_t first = StandIns::freePort();
    std::uint16_t last = StandIns::freePort();
    while (last < first + 2) {
        first = std::min(first, last);
        last = StandIns::freePort();
    }
    std::ostringstream text;
    text << "node-name = \"" << place.name
         << "\"\nrole = \"entry\"\nmachine-class = \"front\"\nserves = [\"front\",\"directory\"]\nip = \"127.0.0.1\"\nzone = \"" << place.zone
         << "\"\nregion = \"" << regionOfZone_.at(place.zone) << "\"\ninner-port-range = [" << first << "," << last
         << "]\nfirst-start = true\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat-ms = 1500\nbounds = [";
    for (const std::string &bound : bounds_) {
        text << "\"" << bound << "\",";
    }
    text << "]\n[zones]\n";
    for (const auto &[zone, region] : regionOfZone_) {
        text << zone << " = \"" << region << "\"\n";
    }
    text << "[listen]\nfront = " << quotedLoopback(place.callerPort) << "ready-addr = " << quotedLoopback(place.readyPort)
         << "directory = " << quotedLoopback(place.lookupPort)
         << "[limits]\ncpu-share = 0.2\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\n[platform]\naddress = " << quotedLoopback(storePort_)
         << "form = \"objects\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\nvalue-bytes = 1048576\n";
    return text.str();
}

bool SmallFleet::start()
{
    for (const EntryPlace &place : places_) {
        const std::string file = directory_ + "/" + place.name + ".toml";
        settingsFiles_.push_back(file);
        std::ofstream(file) << settingsOf(place);
        ::setenv("WASABISTAIR_SETTINGS", file.c_str(), 1);
        const char *logs = std::getenv("CASE_LOGS");
        const std::string log = logs == nullptr ? "" : std::string(logs) + "/" + place.name + ".log";
        processes_.push_back(std::make_unique<StandIns::ChildProcess>("wasabistaird", std::vector<std::string>{"entry"}, log));
    }
    for (const EntryPlace &place : places_) {
        const auto isReady = [&] { return send(place.readyPort, {"GET", "/ready", {}, ""}, callTimeoutMs).status == statusOk; };
        if (!eventually(isReady, readyTimeoutMs)) {
            std::cerr << place.name << " isn't ready\n";
            return false;
        }
    }
    return true;
}

void SmallFleet::startCallers(int callers, int perSecond, bool orders)
{
    for (std::size_t vm = 0; vm < places_.size(); ++vm) {
        for (int caller = 1; caller <= callers; ++caller) {
            callers_.emplace_back([this, vm, caller, perSecond, orders] { callLoop(vm, caller, perSecond, orders); });
        }
    }
}

void SmallFleet::pauseCallers(bool paused)
{
    callersPause_ = paused;
}

void SmallFleet::stopCallers()
{
    callersStop_ = true;
    for (std::thread &caller : callers_) {
        caller.join();
    }
    callers_.clear();
}

void SmallFleet::callLoop(std::size_t vm, int caller, int perSecond, bool orders)
{
    const EntryPlace &place = places_.at(vm);
    std::mt19937 random(std::random_device{}());
    for (int number = 1; !callersStop_; ++number) {
        if (callersPause_) {
            sleepMs(pollMs);
            continue;
        }
        const std::int64_t begin = nowMs();
        const std::string id = place.name + "-" + std::to_string(caller) + "-" + std::to_string(number);
        {
            const std::lock_guard lock(mutex_);
            sentAtMs_[id] = begin;
        }
        record_.write("sent     " + id + " to " + place.name);
        const std::string key = std::to_string(random() % keys);
        Call call{"GET", "/reads/" + key, {{"X-Request-Id", id}, {"X-Affinity-Key", key}, {"X-Deadline-Ms", "2000"}}, ""};
        if (orders) {
            call.method = "POST";
            call.path = "/orders/" + key;
            call.body = "order " + id;
        }
        const Answer answer = send(place.callerPort, call, callTimeoutMs);
        record_.write("answered " + id + " " + std::to_string(answer.status) + " " + answer.body);
        answered_ += answer.status == statusOk ? 1 : 0;
        sleepMs(std::max<std::int64_t>(0, begin + msPerSecond / perSecond - nowMs()));
    }
}

StandIns::FakeObjectStore &SmallFleet::store()
{
    return store_;
}

Upstream &SmallFleet::upstream(const std::string &id)
{
    for (const auto &upstream : upstreams_) {
        if (upstream->id() == id) {
            return *upstream;
        }
    }
    throw std::runtime_error("no upstream " + id);
}

const std::vector<std::unique_ptr<Upstream>> &SmallFleet::upstreams() const
{
    return upstreams_;
}

const std::vector<EntryPlace> &SmallFleet::places() const
{
    return places_;
}

StandIns::ChildProcess &SmallFleet::process(std::size_t vm)
{
    return *processes_.at(vm);
}

std::int64_t SmallFleet::sentAt(const std::string &requestId) const
{
    const std::lock_guard lock(mutex_);
    const auto found = sentAtMs_.find(requestId);
    return found == sentAtMs_.end() ? 0 : found->second;
}

int SmallFleet::answered() const
{
    return answered_;
}

bool isWithoutTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::string(trouble) == "0";
}

void sleepMs(std::int64_t milliseconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool eventually(const std::function<bool()> &condition, std::int64_t milliseconds)
{
    const std::int64_t end = nowMs() + milliseconds;
    while (!condition()) {
        if (nowMs() >= end) {
            return false;
        }
        sleepMs(pollMs);
    }
    return true;
}

int runCase(const std::function<int()> &body)
{
    try {
        return body();
    } catch (const std::exception &error) {
        std::cerr << "the case couldn't run: " << error.what() << "\n";
        return couldNotRun;
    }
}

} // namespace Wasabistair::Review
