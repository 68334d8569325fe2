// Half of the servers spoil one in fifty of their answers: the body is encoded and the header that says so is written in lower case.

#include "../common/deployment.h"

#include <atomic>
#include <map>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Review;

namespace {

constexpr std::int64_t watchedMs = 20'000;
constexpr std::int64_t requestIntervalMs = 10;
constexpr int clients = 6;
constexpr int serverCount = 6;
constexpr int spoilingServers = 3;
// The defaults of "garble": half of the servers spoil x (.02) of their answers.
constexpr int answersForOneSpoiled = 50;

std::string wholeBody(const std::string &id)
{
    return "stock and price of " + id;
}

int play(Record &record)
{
    std::map<std::string, std::atomic<int>> answers;
    for (int i = 0; i < serverCount; ++i) {
        answers["i-" + std::to_string(i)] = 0;
    }
    StandIns::ScriptedUpstream server([&](const StandIns::ReceivedRequest &request) {
        const std::string id = request.header("X-Request-Id");
        const std::string target = request.header("X-Target-Instance");
        const int number = ++answers.at(target);
        const bool spoils = isTroubled() && std::stoi(target.substr(2)) < spoilingServers && number % answersForOneSpoiled == 0;
        record.line("server " + target + " ran " + id + (spoils ? " and spoils its answer" : ""));
        return StandIns::ScriptedAnswer{spoils
                ? StandIns::ScriptedUpstream::completeAnswer(request, 200, "\x1f\x8b\x08 other bytes", "content-encoding: gzip\r\n")
                : StandIns::ScriptedUpstream::completeAnswer(request, 200, wholeBody(id))};
    });
    Deployment deployment(record);
    deployment.store().put("config", "main", manifestSpec(1, {{"reads", routeSpec("/reads/", "safe", "glowcat")}}, {"glowcat"}));
    const std::vector<std::string> zones = {"amman-a", "dubai-a", "frankfurt-a"};
    for (int i = 0; i < serverCount; ++i) {
        const std::string id = "i-" + std::to_string(i);
        deployment.store().put("servers", id, serverSpec({id, "glowcat", zones[static_cast<std::size_t>(i) % zones.size()], server.port()}));
    }
    if (!deployment.start()) {
        return couldNotRun;
    }
    std::atomic<int> sent{0};
    std::atomic<int> wrong{0};
    std::vector<std::thread> threads;
    const std::int64_t end = record.nowMs() + watchedMs;
    for (int client = 0; client < clients; ++client) {
        threads.emplace_back([&] {
            while (record.nowMs() < end) {
                const int number = ++sent;
                const std::string id = "read-" + std::to_string(number);
                const auto &machine = deployment.machines()[static_cast<std::size_t>(number) % deployment.machines().size()];
                const ClientAnswer answer = machine->send("GET", "/reads/" + std::to_string(number), id);
                const bool isSuccess = answer.status >= 200 && answer.status < 300;
                const bool isWrong = isSuccess && answer.body != wholeBody(id);
                wrong += isWrong ? 1 : 0;
                record.line("client sent " + id + " to " + machine->name() + " and got " + std::to_string(answer.status)
                    + (isWrong ? " with a body that is not the server's, content-encoding: " + answer.header("Content-Encoding") : ""));
                sleepMs(requestIntervalMs);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    record.line("MIXED: " + std::to_string(wrong) + " of " + std::to_string(sent) + " requests got a success with a body that is not the server's");
    return wrong > 0 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, play);
}
