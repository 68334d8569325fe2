// A machine stands still for five seconds. A good second into that, another machine of its zone is lost for good.
// Rule DRAIN: the directory of machines in touch doesn't name a machine later than stability-window-ms + 3 s after it was lost.

#include "../support-3/smallfleet.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace Wasabistair::Review;

constexpr std::int64_t stabilityWindowMs = 3'000;
constexpr std::int64_t namedAfterLossMs = stabilityWindowMs + 3'000;
constexpr std::int64_t settleMs = 6'000;
constexpr std::int64_t frozenMs = 5'000;
constexpr std::int64_t lostAfterMs = 1'200;
constexpr std::int64_t observedMs = 8'000;
constexpr std::int64_t lookupIntervalMs = 50;
constexpr int lookupTimeoutMs = 1'000;
// Answers that the rule tolerates.
constexpr int toleratedAnswers = 3;
constexpr int requestsPerSecond = 5;
constexpr int workMs = 5;
constexpr std::size_t frozenVm = 0;
constexpr std::size_t lostVm = 1;

int run(const std::string &recordPath)
{
    Record record(recordPath);
    SmallFleet fleet(record, {{"leinster-a", "leinster"}, {"leinster-b", "leinster"}, {"munster-a", "munster"}},
        {"stability-window-ms=3000", "drain-ms=2500", "grace-s=6", "config-apply-ms=2500", "evacuate-ms=5000", "max-stretch-ms=5000", "retry-budget-ratio=0.2",
            "budget-window-s=10", "retry-budget-slack=64", "cold-load-factor=1.5", "cold-slack=5", "ttl_max_s=5", "max-region-shift=0.15"});
    for (const std::string zone : {"leinster-a", "leinster-b", "munster-a"}) {
        fleet.addUpstream("i-" + zone + "-1", zone, workMs);
        fleet.addUpstream("i-" + zone + "-2", zone, workMs);
        fleet.addVm(zone);
        fleet.addVm(zone);
    }
    fleet.putManifest(1);
    if (!fleet.start()) {
        return couldNotRun;
    }
    fleet.startCallers(1, requestsPerSecond);
    sleepMs(settleMs);

    const std::string lostAddress = "127.0.0.1:" + std::to_string(fleet.places().at(lostVm).callerPort);
    const bool trouble = !isWithoutTrouble();
    if (trouble) {
        fleet.process(frozenVm).signal(SIGSTOP);
        record.write(fleet.places().at(frozenVm).name + " stands still");
    }
    const std::int64_t begin = nowMs();
    sleepMs(lostAfterMs);
    fleet.process(lostVm).kill();
    const std::int64_t lostAt = nowMs();
    record.write(fleet.places().at(lostVm).name + " is lost for good, address " + lostAddress);

    std::atomic<int> late{0};
    std::atomic<int> answers{0};
    std::atomic<std::int64_t> lastMs{0};
    std::atomic<bool> stop{false};
    std::vector<std::thread> lookups;
    for (std::size_t vm = 0; vm < fleet.places().size(); ++vm) {
        if (vm == frozenVm || vm == lostVm) {
            continue;
        }
        lookups.emplace_back([&, vm] {
            const EntryPlace &place = fleet.places().at(vm);
            for (; !stop; sleepMs(lookupIntervalMs)) {
                const Answer answer = send(place.lookupPort, {"GET", "/resolve?name=h.example&region=leinster&zone=leinster-b", {}, ""}, lookupTimeoutMs);
                const std::int64_t sinceLossMs = nowMs() - lostAt;
                answers += answer.status != 0 ? 1 : 0;
                const bool namesLost = answer.body.find("\"" + lostAddress + "\"") != std::string::npos;
                if (namesLost) {
                    lastMs = std::max<std::int64_t>(lastMs, sinceLossMs);
                }
                if (namesLost && sinceLossMs > namedAfterLossMs) {
                    ++late;
                    record.write("look-up  " + place.name + " names the lost machine: " + answer.body);
                }
            }
        });
    }
    sleepMs(begin + frozenMs - nowMs());
    if (trouble) {
        fleet.process(frozenVm).signal(SIGCONT);
        record.write(fleet.places().at(frozenVm).name + " goes on");
    }
    sleepMs(observedMs);
    stop = true;
    for (std::thread &lookup : lookups) {
        lookup.join();
    }
    fleet.stopCallers();

    const std::string result = std::to_string(late) + " of " + std::to_string(answers) + " answers of the directory name the lost machine later than "
        + std::to_string(namedAfterLossMs) + " ms after its loss, the last one " + std::to_string(lastMs) + " ms after it";
    record.write("result: " + result);
    std::cout << result << "\n";
    if (answers == 0) {
        return couldNotRun;
    }
    return late > toleratedAnswers ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return argc == 2 ? runCase([&] { return run(argv[1]); }) : couldNotRun;
}
