// Servers are added, and the store is silent for 0.55 s. When it has been sound for the stability window, a server drains.

#include "../common/deployment.h"

#include <atomic>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Review;

namespace {

// Bounds of the rules, from the settings.
constexpr std::int64_t drainMs = 2'500;
constexpr std::int64_t stabilityWindowMs = 4'000;
constexpr std::int64_t calmMs = 6'000;
// Two servers join within this time.
constexpr std::int64_t joinGapMs = 200;
constexpr std::int64_t silenceAfterMs = 500;
constexpr std::int64_t silentMs = 550;
constexpr std::int64_t marginMs = 100;
constexpr std::int64_t watchedMs = 8'000;
constexpr std::int64_t requestIntervalMs = 40;
constexpr int clients = 3;

int play(Record &record)
{
    std::atomic<std::int64_t> drainedAtMs{-1};
    std::atomic<int> late{0};
    StandIns::ScriptedUpstream server([&](const StandIns::ReceivedRequest &request) {
        const std::string target = request.header("X-Target-Instance");
        const std::int64_t sentAt = std::stoll(request.head.substr(request.head.find("/reads/") + std::string("/reads/").size()));
        if (target == "i-drains" && drainedAtMs >= 0 && sentAt > drainedAtMs + drainMs) {
            ++late;
        }
        record.line("server " + target + " ran " + request.header("X-Request-Id"));
        return StandIns::ScriptedAnswer{StandIns::ScriptedUpstream::completeAnswer(request, 200, "body of " + request.header("X-Request-Id"))};
    });
    Deployment deployment(record);
    PlatformStore &store = deployment.store();
    const auto join = [&](const std::string &id, const std::string &zone) { store.put("servers", id, serverSpec({id, "glowcat", zone, server.port()})); };
    store.put("config", "main", manifestSpec(1, {{"reads", routeSpec("/reads/", "safe", "glowcat")}}, {"glowcat"}));
    for (const std::string zone : {"amman-a", "dubai-a", "frankfurt-a"}) {
        join("i-" + zone, zone);
    }
    join("i-drains", "amman-a");
    if (!deployment.start()) {
        return couldNotRun;
    }
    std::atomic<bool> done{false};
    std::vector<std::thread> threads;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&, client] {
            for (int number = 0; !done; ++number) {
                const auto &machine = deployment.machines()[static_cast<std::size_t>(number) % deployment.machines().size()];
                const std::string id = "read-" + std::to_string(client) + "-" + std::to_string(number);
                const int status = machine->send("GET", "/reads/" + std::to_string(record.nowMs()), id).status;
                record.line("client sent " + id + " to " + machine->name() + " and got " + (status == 0 ? "no answer" : std::to_string(status)));
                sleepMs(requestIntervalMs);
            }
        });
    }
    sleepMs(calmMs);
    join("i-new-1", "dubai-a");
    sleepMs(joinGapMs);
    join("i-new-2", "frankfurt-a");
    record.line("two servers have joined");
    sleepMs(silenceAfterMs);
    store.setSilent(isTroubled());
    record.line(isTroubled() ? "the store is silent" : "the store stays sound");
    sleepMs(silentMs);
    store.setSilent(false);
    record.line("the store is sound");
    sleepMs(stabilityWindowMs + marginMs);
    store.put("servers", "i-drains", serverSpec({"i-drains", "glowcat", "amman-a", server.port(), "draining"}));
    drainedAtMs = record.nowMs();
    record.line("the store accepted that i-drains is draining");
    sleepMs(watchedMs);
    done = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.line("DRAIN: requests sent later than drain-ms after the ack that reached the draining server: " + std::to_string(late));
    return late > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, play);
}
