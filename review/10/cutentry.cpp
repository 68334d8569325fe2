#include "../harness/harness.h"

#include <standins/platformobjects.h>

#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Review;

namespace {

using Json = nlohmann::json;
using StandIns::ScriptedUpstream;

// Bounds of the first two sites.
constexpr std::int64_t stabilityWindowMs = 4'000;
constexpr std::int64_t drainMs = 2'500;
constexpr std::int64_t recoveryMs = 15'000;
constexpr std::int64_t downMs = 1'000;
constexpr std::int64_t afterDrainMs = 4'500;
constexpr std::int64_t judgedMs = 5'000;
constexpr std::int64_t warmUpMs = 2'000;
constexpr std::int64_t budgetMs = 1'200;
constexpr std::int64_t startTimeoutMs = 10'000;
constexpr int callerCount = 8;
constexpr std::int64_t callerPauseMs = 80;
// Entry of another writer, which has been cut short.
const std::string cutEntry = R"({"address":"127.0.0.1:9","info":{"service":"svc","zone":"a")";

struct Deployment {
    Record record;
    TemporaryFolder folder;
    StandIns::FakeObjectStore store;
    std::atomic<std::int64_t> drainAckedAtMs{0};
    std::atomic<int> lateAtDraining{0};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<bool> ending{false};
    ScriptedUpstream first{[this](const auto &request) { return run("s-1", request); }};
    ScriptedUpstream second{[this](const auto &request) { return run("s-2", request); }};
    ScriptedUpstream draining{[this](const auto &request) { return run("s-3", request); }};
    std::vector<std::unique_ptr<Vm>> vms;

    Deployment()
    {
        store.put("config", "main", StandIns::manifestObject(1, {{"look", StandIns::routeObject("/look/", "safe", budgetMs, 2)}}));
        store.put("servers", "s-1", serverEntry(first.port(), "svc", "a", 4, "ready"));
        store.put("servers", "s-2", serverEntry(second.port(), "svc", "b", 4, "ready"));
        store.put("servers", "s-3", serverEntry(draining.port(), "svc", "a", 4, "ready"));
        const std::map<std::string, std::string> zones = {{"a", "north"}, {"b", "north"}};
        const std::vector<std::string> bounds
            = {"stability-window-ms=4000", "drain-ms=2500", "grace-s=6", "config-apply-ms=2500", "recovery-s=15", "ttl_max_s=5"};
        vms.push_back(std::make_unique<Vm>(VmPlan{"vm-1", "a", zones, bounds, store.port()}, folder.path()));
        vms.push_back(std::make_unique<Vm>(VmPlan{"vm-2", "b", zones, bounds, store.port()}, folder.path()));
    }

    StandIns::ScriptedAnswer run(const std::string &server, const StandIns::ReceivedRequest &request)
    {
        const std::int64_t acked = drainAckedAtMs;
        const bool isLate = server == "s-3" && acked != 0 && nowMs() > acked + drainMs;
        lateAtDraining += isLate ? 1 : 0;
        record.write("run       " + request.header("X-Request-Id") + " at " + server
            + (isLate ? ", " + std::to_string(nowMs() - acked) + " ms after it has reported that it drains" : ""));
        return {ScriptedUpstream::completeAnswer(request, 200, "found")};
    }

    void callInTurn(int caller)
    {
        for (int i = 0; !ending; ++i) {
            const Vm &vm = *vms[static_cast<std::size_t>((caller + i) % 2)];
            const std::string id = "r-" + std::to_string(caller) + "-" + std::to_string(i);
            const CallResult result = call(vm.callerPort(), requestText("GET", "/look/x", id, budgetMs, ""), budgetMs);
            ++sent;
            served += result.status == 200 ? 1 : 0;
            record.write((result.status == 0 ? "no answer " : "answered  ") + id + " by " + vm.name() + " status " + std::to_string(result.status));
            sleepMs(callerPauseMs);
        }
    }

    [[nodiscard]] bool startAll()
    {
        for (const auto &vm : vms) {
            vm->start();
        }
        return vms[0]->awaitReady(startTimeoutMs) && vms[1]->awaitReady(startTimeoutMs);
    }

    /// Share of the requests of the next @p milliseconds that are served.
    [[nodiscard]] double servedShare(std::int64_t milliseconds)
    {
        const int sentBefore = sent;
        const int servedBefore = served;
        sleepMs(milliseconds);
        return sent == sentBefore ? 0 : static_cast<double>(served - servedBefore) / (sent - sentBefore);
    }
};

} // namespace

int main()
{
    Deployment deployment;
    if (!deployment.startAll()) {
        deployment.record.write("the deployment isn't ready");
        return couldNotRun;
    }
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&deployment, i] { deployment.callInTurn(i); });
    }
    const double before = deployment.servedShare(warmUpMs);
    if (hasTrouble()) {
        deployment.store.putRaw("servers", "x-1", cutEntry);
        deployment.record.write("entry of another writer: " + cutEntry);
    }
    sleepMs(stabilityWindowMs);
    deployment.store.put("servers", "s-3", serverEntry(deployment.draining.port(), "svc", "a", 4, "draining"));
    deployment.drainAckedAtMs = nowMs();
    deployment.record.write("s-3 drains: acknowledged by the store");
    sleepMs(afterDrainMs);
    const int lateAtDraining = deployment.lateAtDraining;
    // The server ends.
    deployment.store.remove("servers", "s-3");
    deployment.drainAckedAtMs = 0;
    for (const auto &vm : deployment.vms) {
        vm->kill();
    }
    deployment.record.write("SIGKILL to both machines' processes");
    sleepMs(downMs);
    for (const auto &vm : deployment.vms) {
        vm->start();
    }
    deployment.record.write("both started again");
    sleepMs(recoveryMs);
    const double after = deployment.servedShare(judgedMs);
    deployment.ending = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    deployment.record.write("served before " + std::to_string(before) + ", later than recovery-s after the restart " + std::to_string(after)
        + "; requests at s-3 later than drain-ms: " + std::to_string(lateAtDraining));
    constexpr double quarter = 0.25;
    return before >= quarter && after < quarter ? ruleBroken : ruleHeld;
}
