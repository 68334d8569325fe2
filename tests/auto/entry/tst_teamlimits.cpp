#include "entryfixture.h"

#include <standins/platformobjects.h>
#include <standins/ports.h>
#include <steering/quotakeeping.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/TemporaryFile.h>
#include <Poco/Timespan.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <mutex>
#include <sys/stat.h>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Tests;
using Json = nlohmann::json;
using Steering::QuotaVm;

namespace {

constexpr double ratePerSecond = 60;
constexpr double burst = 10;
constexpr std::int64_t windowMs = 2'000;
constexpr double overage = 0.1;
constexpr double slack = 4;
constexpr double allowedInWindow = (ratePerSecond * windowMs / 1'000 + burst) * (1 + overage) + slack;
constexpr int callersPerVm = 6;
constexpr int callTimeoutSeconds = 2;
constexpr auto callerPause = std::chrono::milliseconds(20);

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

struct Run {
    std::int64_t sentAtMs = 0;
    std::int64_t arrivedAtMs = 0;
};

/// A team whose requests @p first would keep rather than @p second.
std::string teamRankedFirstAt(const std::string &first, const std::string &second)
{
    Steering::QuotaKeeping keeping(QuotaVm{first, "a", 1});
    keeping.addRegistered({QuotaVm{first, "a", 1}, QuotaVm{second, "a", 1}});
    std::string team = "team";
    while (keeping.keeperOf("a", team)->name != first) {
        team += "-x";
    }
    return team;
}

/// VMs of one zone, each in its own process, that keep the limit of one team.
struct TeamLimitFixture {
    struct Vm {
        StandIns::EntryVmConfig place;
        std::string directory;
        std::unique_ptr<StandIns::ChildProcess> process;
    };

    TeamLimitFixture()
    {
        store.stateEras();
        Json manifest = StandIns::manifestObject(1, {{"safe", StandIns::routeObject("/safe/", "safe", 1'500, 2)}});
        manifest["tenants"] = {{teamRankedFirstAt("new", "old"), {{"api-keys", {"key"}}, {"rate-per-s", ratePerSecond}, {"burst", burst}}}};
        store.put("config", "main", manifest);
        store.put("servers", "u-1", StandIns::upstreamObject(upstream.port(), "a", "ready"));
    }

    ~TeamLimitFixture()
    {
        ending = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
        for (auto &[name, vm] : vms) {
            vm.process.reset();
            std::remove((vm.directory + "/settings.toml").c_str());
            std::remove(vm.directory.c_str());
        }
    }

    void start(const std::string &name)
    {
        Vm &vm = vms[name];
        if (vm.directory.empty()) {
            vm.directory = Poco::TemporaryFile::tempName();
            ::mkdir(vm.directory.c_str(), 0700);
            const std::uint16_t firstInnerPort = StandIns::freePort();
            // The one in between is used for limits of teams.
            static_cast<void>(StandIns::freePort());
            const std::uint16_t lastInnerPort = StandIns::freePort();
            vm.place
                = {name, "a", {{"a", "north"}}, StandIns::freePort(), StandIns::freePort(), StandIns::freePort(), firstInnerPort, lastInnerPort, store.port()};
            std::string settings = StandIns::entrySettings(vm.place);
            const std::string bounds = "bounds = [";
            settings.replace(settings.find(bounds), bounds.size(), bounds + R"("quota-window-s=2","quota-overage=0.1","quota-slack=4",)");
            std::ofstream(vm.directory + "/settings.toml") << settings;
        }
        ::setenv("WASABISTAIR_SETTINGS", (vm.directory + "/settings.toml").c_str(), 1);
        vm.process = std::make_unique<StandIns::ChildProcess>("wasabistaird", std::vector<std::string>{"entry"}, "");
    }

    /// Whether @p vm answers a request of the team; a rejection counts.
    bool call(const std::string &vm)
    {
        try {
            Poco::Net::HTTPClientSession session("127.0.0.1", vms.at(vm).place.callerPort);
            session.setTimeout(Poco::Timespan(callTimeoutSeconds, 0));
            Poco::Net::HTTPRequest request("GET", "/safe/x", "HTTP/1.1");
            request.set("Host", "h.example");
            request.set("X-Request-Id", vm + "-" + std::to_string(++requestCount));
            request.set("Authorization", "Bearer key");
            request.set("X-Sent-At", std::to_string(nowMs()));
            session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            session.receiveResponse(response);
            return response.getStatus() == 200;
        } catch (const Poco::Exception &) {
            return false;
        }
    }

    void startCallers(const std::string &vm)
    {
        for (int i = 0; i < callersPerVm; ++i) {
            callers.emplace_back([this, vm] {
                while (!ending) {
                    call(vm);
                    std::this_thread::sleep_for(callerPause);
                }
            });
        }
    }

    StandIns::ScriptedAnswer answer(const StandIns::ReceivedRequest &request)
    {
        const std::lock_guard lock(mutex);
        runs.push_back({std::stoll(request.header("X-Sent-At")), nowMs()});
        return {StandIns::ScriptedUpstream::completeAnswer(request, 200, "body")};
    }

    /// Largest number of runs in a window of those that were sent and arrived in it.
    std::size_t mostInWindow()
    {
        const std::lock_guard lock(mutex);
        std::size_t most = 0;
        for (const Run &last : runs) {
            const std::int64_t begin = last.arrivedAtMs - windowMs;
            most = std::max(most, static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [&](const Run &run) {
                return run.sentAtMs >= begin && run.arrivedAtMs <= last.arrivedAtMs;
            })));
        }
        return most;
    }

    std::size_t runCount()
    {
        const std::lock_guard lock(mutex);
        return runs.size();
    }

    std::mutex mutex;
    std::vector<Run> runs;
    StandIns::FakeObjectStore store;
    StandIns::ScriptedUpstream upstream{[this](const StandIns::ReceivedRequest &request) { return answer(request); }};
    std::map<std::string, Vm> vms;
    std::atomic<int> requestCount{0};
    std::atomic<bool> ending{false};
    std::vector<std::thread> callers;
};

} // namespace

TEST_CASE_FIXTURE(TeamLimitFixture, "teamLimit_storeComesBackFromACopyWithoutANewVm_isKeptByOneVm")
{
    // Guards against two keepers of a team: a new VM that the copy lacks, and one that starts again and reads the copy.
    constexpr auto newVmServes = std::chrono::seconds(3);
    constexpr auto storeIsAway = std::chrono::milliseconds(300);
    constexpr auto afterRestore = std::chrono::seconds(6);
    start("old");
    REQUIRE(EntryFixture::eventually([this] { return call("old"); }, std::chrono::seconds(20)));
    const std::uint64_t copy = store.revision();
    start("new");
    REQUIRE(EntryFixture::eventually([this] { return call("new"); }));
    startCallers("old");
    startCallers("new");
    std::this_thread::sleep_for(newVmServes);

    store.setFaults({.busy = true});
    vms.at("old").process->kill();
    std::this_thread::sleep_for(storeIsAway);
    store.restoreRevision(copy);
    store.setFaults({});
    start("old");
    std::this_thread::sleep_for(afterRestore);

    const std::size_t most = mostInWindow();
    INFO("most runs in a window: ", most, ", allowed: ", allowedInWindow);
    CHECK(static_cast<double>(most) <= allowedInWindow);
    // The limit is used, too.
    CHECK(static_cast<double>(most) > ratePerSecond * windowMs / 1'000 / 2);
}
