// An entry of another writer in the registry of servers: its field "info" is of another type, a list that holds lists. The platform
// starts each process again after it has ended.

#include "../common/deployment.h"

#include <algorithm>
#include <atomic>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Review;

namespace {

// The entry takes 800 kB; the settings allow objects of 1 MiB.
constexpr std::size_t nestingDepth = 400'000;
constexpr std::int64_t calmMs = 5'000;
constexpr std::int64_t watchedMs = 15'000;
constexpr std::int64_t restartDelayMs = 300;
constexpr std::int64_t pollMs = 50;
constexpr std::int64_t requestIntervalMs = 250;
// The rule "Fault": on a tenth of the machines in use, two at least, processes end by themselves three times.
constexpr int endsPerMachine = 3;
constexpr int machinesAffected = 2;

std::string nestedEntry(std::uint16_t port)
{
    return R"({"address":"127.0.0.1:)" + std::to_string(port) + R"(","info":)" + std::string(nestingDepth, '[') + std::string(nestingDepth, ']')
        + R"(,"status":{"state":"ready","seq":1,"cold-left-ms":0}})";
}

int play(Record &record)
{
    StandIns::ScriptedUpstream server([&](const StandIns::ReceivedRequest &request) {
        record.line("server ran " + request.header("X-Request-Id"));
        return StandIns::ScriptedAnswer{StandIns::ScriptedUpstream::completeAnswer(request, 200, "body of " + request.header("X-Request-Id"))};
    });
    Deployment deployment(record);
    deployment.store().put("config", "main", manifestSpec(1, {{"reads", routeSpec("/reads/", "safe", "glowcat")}}, {"glowcat"}));
    for (const std::string zone : {"amman-a", "dubai-a", "frankfurt-a"}) {
        deployment.store().put("servers", "i-" + zone, serverSpec({"i-" + zone, "glowcat", zone, server.port()}));
    }
    if (!deployment.start()) {
        return couldNotRun;
    }
    std::atomic<bool> done{false};
    std::atomic<int> served{0};
    std::atomic<int> sent{0};
    std::thread client([&] {
        while (!done) {
            const int number = ++sent;
            const auto &machine = deployment.machines()[static_cast<std::size_t>(number) % deployment.machines().size()];
            const std::string id = "read-" + std::to_string(number);
            const int status = machine->send("GET", "/reads/" + std::to_string(number), id).status;
            served += status == 200 ? 1 : 0;
            record.line("client sent " + id + " to " + machine->name() + " and got " + (status == 0 ? "no answer" : std::to_string(status)));
            sleepMs(requestIntervalMs);
        }
    });
    sleepMs(calmMs);
    record.line("in the calm " + std::to_string(served) + " of " + std::to_string(sent) + " requests were served");
    served = 0;
    sent = 0;
    if (isTroubled()) {
        deployment.store().put("servers", "x-other-writer", nestedEntry(server.port()));
        record.line("another writer put servers/x-other-writer");
    }
    std::vector<int> ends(deployment.machines().size());
    for (const std::int64_t end = record.nowMs() + watchedMs; record.nowMs() < end;) {
        for (std::size_t i = 0; i < ends.size(); ++i) {
            std::string cause;
            if (deployment.machines()[i]->takeEnd(cause)) {
                ++ends[i];
                record.line("the process on " + deployment.machines()[i]->name() + " ended by itself: " + cause);
                sleepMs(restartDelayMs);
                deployment.machines()[i]->start();
            }
        }
        sleepMs(pollMs);
    }
    done = true;
    client.join();
    record.line("after that " + std::to_string(served) + " of " + std::to_string(sent) + " requests were served");
    const auto affected = std::count_if(ends.begin(), ends.end(), [](int count) { return count >= endsPerMachine; });
    record.line("machines whose process ended by itself three times or more: " + std::to_string(affected));
    return affected >= machinesAffected ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, play);
}
