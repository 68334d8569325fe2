#include "../harness/harness.h"

#include <standins/platformobjects.h>

#include <array>
#include <atomic>
#include <csignal>
#include <memory>
#include <random>
#include <set>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Review;

namespace {

using Json = nlohmann::json;
using StandIns::ScriptedUpstream;

// Bounds of the large deployment: the VM may run this long after SIGTERM, and callers keep a look-up this many times its age at most.
constexpr std::int64_t graceMs = 10'000;
constexpr std::int64_t patience = 3;
// commission-confirm of the large deployment: time budget and timeout of the route.
constexpr std::int64_t budgetMs = 10'000;
constexpr std::int64_t routeTimeoutMs = 3'000;
constexpr int workMs = 300;
// Six machines, three of which are stopped at a time, one second apart.
constexpr int vmCount = 6;
constexpr int stoppedAtOnce = 3;
constexpr std::int64_t stopGapMs = 1'000;
constexpr int rounds = 8;
constexpr int callerCount = 24;
// Pause of a caller between two requests, in ms.
constexpr int minPauseMs = 400;
constexpr int maxPauseMs = 2'400;
constexpr std::int64_t warmUpMs = 1'200;
constexpr std::int64_t startTimeoutMs = 10'000;
// Longest time of the script; the last round begins early enough.
constexpr std::int64_t lastRoundStartsMs = 98'000;

struct Sent {
    std::string id;
    std::size_t vm = 0;
    CallResult result;
};

/// Requests that the servers ran, by id, with the time at which each began.
class Runs
{
public:
    void add(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        startedAtMs_.emplace(id, nowMs());
    }

    [[nodiscard]] std::int64_t startOf(const std::string &id) const
    {
        const std::lock_guard lock(mutex_);
        const auto found = startedAtMs_.find(id);
        return found == startedAtMs_.end() ? 0 : found->second;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::int64_t> startedAtMs_;
};

struct Deployment {
    Record record;
    TemporaryFolder folder;
    Runs runs;
    StandIns::FakeObjectStore store;
    ScriptedUpstream firstServer{[this](const auto &request) { return run(request); }};
    ScriptedUpstream secondServer{[this](const auto &request) { return run(request); }};
    std::vector<std::unique_ptr<Vm>> vms;
    std::array<std::atomic<std::int64_t>, vmCount> stoppedAtMs{};
    std::mutex sentMutex;
    std::vector<Sent> sent;
    std::atomic<int> nextId{0};
    std::atomic<bool> ending{false};

    Deployment()
    {
        Json route = StandIns::routeObject("/confirm/", "unsafe", routeTimeoutMs, 2);
        route["target-latency-ms"] = 1'200;
        store.put("config", "main", StandIns::manifestObject(1, {{"confirm", route}}));
        store.put("servers", "s-1", serverEntry(firstServer.port(), "svc", "a", 5, "ready"));
        store.put("servers", "s-2", serverEntry(secondServer.port(), "svc", "b", 5, "ready"));
        const std::map<std::string, std::string> zones = {{"a", "north"}, {"b", "south"}};
        for (int i = 0; i < vmCount; ++i) {
            const std::vector<std::string> bounds = {"stability-window-ms=4000", "drain-ms=4000", "grace-s=10", "loss-slack-ms=200", "config-apply-ms=4000",
                "retry-budget-ratio=0.2", "budget-window-s=10", "retry-budget-slack=430", "ttl_max_s=5"};
            vms.push_back(std::make_unique<Vm>(VmPlan{"vm-" + std::to_string(i + 1), i % 2 == 0 ? "a" : "b", zones, bounds, store.port()}, folder.path()));
        }
    }

    StandIns::ScriptedAnswer run(const StandIns::ReceivedRequest &request)
    {
        const std::string id = request.header("X-Request-Id");
        runs.add(id);
        record.write("run       " + id);
        StandIns::ScriptedAnswer answer;
        answer.bytes = ScriptedUpstream::completeAnswer(request, 200, "confirmed");
        answer.delayMs = workMs;
        return answer;
    }

    [[nodiscard]] std::size_t indexOf(std::uint16_t port) const
    {
        std::size_t index = 0;
        while (index + 1 < vms.size() && vms[index]->callerPort() != port) {
            ++index;
        }
        return index;
    }

    /// The look-up of a caller: up to three directories, the nearest first.
    [[nodiscard]] Directory resolve(std::size_t nearest) const
    {
        Directory found;
        for (std::size_t tried = 0; tried < 3 && found.ports.empty(); ++tried) {
            found = lookUp(vms[(nearest + 2 * tried) % vms.size()]->lookupPort(), nearest % 2 == 0 ? "north" : "south", nearest % 2 == 0 ? "a" : "b");
        }
        return found;
    }

    /// One caller: keeps a look-up for three times its age, and longer when it gets no new one; sends each request on a new connection to one of the addresses
    /// that haven't failed it.
    void callInTurn(std::size_t caller)
    {
        std::mt19937 random(static_cast<unsigned>(caller));
        Directory known;
        std::set<std::uint16_t> failed;
        std::int64_t knownAtMs = 0;
        while (!ending) {
            sleepMs(std::uniform_int_distribution<int>(minPauseMs, maxPauseMs)(random));
            if (known.ports.empty() || nowMs() - knownAtMs >= patience * known.keepMs) {
                const Directory found = resolve(caller);
                if (!found.ports.empty()) {
                    known = found;
                    knownAtMs = nowMs();
                    failed.clear();
                }
            }
            std::vector<std::uint16_t> usable;
            for (const std::uint16_t port : known.ports) {
                if (!failed.contains(port)) {
                    usable.push_back(port);
                }
            }
            if (usable.empty()) {
                continue;
            }
            const std::uint16_t port = usable[random() % usable.size()];
            const std::string id = "r-" + std::to_string(++nextId);
            const CallResult result = call(port, requestText("POST", "/confirm/x", id, budgetMs, "order"), budgetMs);
            if (result.status != 200) {
                failed.insert(port);
            }
            noteSent({id, indexOf(port), result});
        }
    }

    void noteSent(const Sent &entry)
    {
        const std::string end = entry.result.status != 0 ? "answered  " + entry.id + " status " + std::to_string(entry.result.status)
            : entry.result.connected                     ? "closed    " + entry.id + " without an answer"
                                                         : "no connection " + entry.id;
        record.write(end + " by " + vms[entry.vm]->name() + ", sent " + std::to_string(entry.result.endedAtMs - entry.result.sentAtMs) + " ms before"
            + sinceStop(entry));
        const std::lock_guard lock(sentMutex);
        sent.push_back(entry);
    }

    [[nodiscard]] std::string sinceStop(const Sent &entry) const
    {
        const std::int64_t stop = stoppedAtMs[entry.vm];
        return stop == 0 ? "" : ", " + std::to_string(entry.result.sentAtMs - stop) + " ms after its SIGTERM";
    }

    /// The rule LOST around a SIGTERM: the request was passed on to a server and its connection ended without an answer. Not counted is what a server was still
    /// at work on in the last sixth of the grace period.
    [[nodiscard]] bool isLost(const Sent &entry) const
    {
        const std::int64_t stop = stoppedAtMs[entry.vm];
        const std::int64_t run = runs.startOf(entry.id);
        const bool aroundStop = stop != 0 && entry.result.endedAtMs >= stop && entry.result.endedAtMs <= stop + graceMs + 1'000;
        const bool excused = run + workMs >= stop + graceMs * 5 / 6 && entry.result.sentAtMs <= stop + 3'000;
        const bool timedOut = entry.result.endedAtMs - entry.result.sentAtMs >= routeTimeoutMs;
        return entry.result.status == 0 && entry.result.ended && run != 0 && aroundStop && !excused && !timedOut;
    }

    void stopInTurn()
    {
        for (int i = 0; i < vmCount; ++i) {
            if (i == stoppedAtOnce) {
                sleepMs(stopGapMs);
            }
            Vm &vm = *vms[static_cast<std::size_t>(i)];
            stoppedAtMs[static_cast<std::size_t>(i)] = nowMs();
            vm.signal(SIGTERM);
            record.write("SIGTERM   " + vm.name());
        }
        for (auto &vm : vms) {
            while (!vm->hasEnded()) {
                sleepMs(20);
            }
            record.write("ended     " + vm->name());
        }
    }
};

} // namespace

int main()
{
    const std::int64_t begin = nowMs();
    Deployment deployment;
    int lost = 0;
    std::size_t requests = 0;
    for (int round = 0; round < (hasTrouble() ? rounds : 1) && nowMs() - begin < lastRoundStartsMs; ++round) {
        for (std::size_t i = 0; i < deployment.vms.size(); ++i) {
            deployment.stoppedAtMs[i] = 0;
            deployment.vms[i]->start();
        }
        for (const auto &vm : deployment.vms) {
            if (!vm->awaitReady(startTimeoutMs)) {
                deployment.record.write(vm->name() + " isn't ready");
                return couldNotRun;
            }
        }
        deployment.ending = false;
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < callerCount; ++i) {
            callers.emplace_back([&deployment, i] { deployment.callInTurn(i); });
        }
        sleepMs(warmUpMs);
        if (hasTrouble()) {
            deployment.stopInTurn();
        } else {
            sleepMs(graceMs);
        }
        deployment.ending = true;
        for (std::thread &caller : callers) {
            caller.join();
        }
        for (const Sent &entry : deployment.sent) {
            if (deployment.isLost(entry)) {
                ++lost;
                deployment.record.write("LOST      " + entry.id + " at " + deployment.vms[entry.vm]->name() + deployment.sinceStop(entry));
            }
        }
        requests += deployment.sent.size();
        deployment.sent.clear();
    }
    deployment.record.write("requests " + std::to_string(requests) + ", lost " + std::to_string(lost));
    return lost > 0 ? ruleBroken : ruleHeld;
}
