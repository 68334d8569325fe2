// Measures the control plane by number of processes: time from the acceptance of a generation until it is in force,
// bytes per second, processor share, memory, and calls to the platform.

#include <standins/fleet.h>
#include <standins/tcprelay.h>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <sstream>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

/// Equals the report interval, so that each VM reports exactly once while it is measured.
constexpr int sampleMs = 30'000;

std::string fetch(const Base::HostPort &address, const std::string &path)
{
    try {
        Poco::Net::HTTPClientSession session(address.host, address.port);
        session.setTimeout(Poco::Timespan(5, 0));
        Poco::Net::HTTPRequest request("GET", path, "HTTP/1.1");
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::istream &in = session.receiveResponse(response);
        return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    } catch (const Poco::Exception &) {
        return {};
    }
}

double metric(const std::string &text, const std::string &name)
{
    std::istringstream lines(text);
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        if (line.starts_with("wasabistair_" + name + " ") || line.starts_with("wasabistair_" + name + "{")) {
            sum += std::atof(line.substr(line.rfind(' ') + 1).c_str());
        }
    }
    return sum;
}

struct Sample {
    double bytes = 0;
    double platformBytes = 0;
    std::int64_t cpuMs = 0;
};

Sample sampleOf(Fleet &fleet, std::size_t index)
{
    const std::string text = fetch(fleet.vms()[index].address(), "/metrics");
    return {metric(text, "node_bytes_sent_total") + metric(text, "node_bytes_received_total"), metric(text, "platform_bytes_total"),
        fleet.vms()[index].process->cpuMs()};
}

template<typename F>
void forEachVm(Fleet &fleet, F &&function)
{
    std::vector<std::thread> threads;
    const std::size_t count = fleet.vms().size();
    for (std::size_t worker = 0; worker < 8; ++worker) {
        threads.emplace_back([&, worker] {
            for (std::size_t i = worker; i < count; i += 8) {
                function(i);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

/// Returns the milliseconds from acceptance until the last VM records @p generation as in force, or -1 if a VM does not
/// within 60 s.
std::int64_t slowestInForceMs(Fleet &fleet, std::uint64_t generation, std::int64_t acceptedWall)
{
    std::vector<std::int64_t> times(fleet.vms().size(), -1);
    const auto allInForce = [&] {
        forEachVm(fleet, [&](std::size_t i) {
            if (times[i] >= 0) {
                return;
            }
            const auto events = nlohmann::json::parse(fetch(fleet.vms()[i].address(), "/v1/timeline"), nullptr, false);
            for (const auto &event : events.is_array() ? events : nlohmann::json::array()) {
                const bool own = event["node"] == fleet.vms()[i].vm.id && event["kind"] == "generation-in-force" && event["generation"] == generation;
                if (own) {
                    times[i] = std::max<std::int64_t>(0, event["wall"].get<std::int64_t>() - acceptedWall);
                }
            }
        });
        return std::none_of(times.begin(), times.end(), [](std::int64_t time) { return time < 0; });
    };
    if (!eventually(allInForce, 60'000)) {
        return -1;
    }
    return *std::max_element(times.begin(), times.end());
}

std::int64_t publishAndMeasure(Fleet &fleet, Steering::ObjectSet &objects, bool outageAfterAcceptance)
{
    objects.services[0].deadlineMs += 1;
    const std::uint64_t generation = fleet.publish(objects);
    const std::int64_t accepted = Base::SystemClock().wall();
    if (outageAfterAcceptance) {
        // Wait until one VM has read the generation; otherwise no VM could forward it during the outage.
        eventually(
            [&] {
                for (std::size_t i = 0; i < fleet.vms().size(); i += 7) {
                    if (fleet.status(i).value("generation", std::uint64_t{0}) >= generation) {
                        return true;
                    }
                }
                return false;
            },
            10'000);
        fleet.platform().setFaults({.down = true});
    }
    const std::int64_t worst = slowestInForceMs(fleet, generation, accepted);
    fleet.platform().setFaults({});
    return worst;
}

void measure(int vmsPerRegion, bool measurePublications)
{
    FleetPlan plan;
    plan.entryVmsPerRegion = vmsPerRegion;
    plan.upstreamsPerRegion = 1;
    plan.extraSettings = {"--report-interval-ms=30000", "--max-connections=50", "--log-level=error"};
    Fleet fleet(plan);
    TcpRelay relay(fleet.platform().port());
    const std::size_t count = fleet.vms().size();
    for (std::size_t i = 0; i < count; i += 3) {
        fleet.setPlatformPort(i, relay.port());
    }
    Steering::ObjectSet objects = fleet.objects();
    const std::uint64_t generation = fleet.publish(objects);
    fleet.startVms();
    if (!fleet.awaitReady(generation, 120'000)) {
        std::printf("%zu processes: not ready in time\n", count);
        return;
    }
    // Wait until the changes caused by the start have spread; a larger fleet has more of them.
    sleepMs(15'000 + 300 * static_cast<int>(count));
    std::vector<Sample> before(count);
    std::vector<Sample> after(count);
    const auto callsBefore = fleet.platform().calls();
    forEachVm(fleet, [&](std::size_t i) { before[i] = sampleOf(fleet, i); });
    sleepMs(sampleMs);
    forEachVm(fleet, [&](std::size_t i) { after[i] = sampleOf(fleet, i); });
    const auto callsAfter = fleet.platform().calls();
    std::vector<double> bytes;
    std::vector<double> platformBytes;
    std::vector<double> cpu;
    std::vector<double> memory;
    for (std::size_t i = 0; i < count; ++i) {
        bytes.push_back((after[i].bytes - before[i].bytes) * 1'000 / sampleMs);
        platformBytes.push_back((after[i].platformBytes - before[i].platformBytes) * 1'000 / sampleMs);
        cpu.push_back(static_cast<double>(after[i].cpuMs - before[i].cpuMs) * 100 / sampleMs);
        memory.push_back(static_cast<double>(fleet.vms()[i].process->residentBytes()) / (1 << 20));
    }
    const auto sortAll = [](std::vector<double> &values) { std::sort(values.begin(), values.end()); };
    sortAll(bytes);
    sortAll(platformBytes);
    sortAll(cpu);
    sortAll(memory);
    std::printf("%zu processes: node bytes/s median %.0f max %.0f; platform bytes/s median %.0f max %.0f; processor %% median %.2f max %.2f; memory MB median "
                "%.1f max %.1f\n",
        count, bytes[count / 2], bytes.back(), platformBytes[count / 2], platformBytes.back(), cpu[count / 2], cpu.back(), memory[count / 2], memory.back());
    std::printf("%zu processes: platform calls/s:", count);
    for (const auto &[kind, calls] : callsAfter) {
        const auto found = callsBefore.find(kind);
        std::printf(" %s %.2f", kind.c_str(), static_cast<double>(calls - (found == callsBefore.end() ? 0 : found->second)) * 1'000 / sampleMs);
    }
    std::printf("\n");
    if (!measurePublications) {
        return;
    }
    std::printf("%zu processes: in force at the worst VM, ms: calm", count);
    for (int i = 0; i < 3; ++i) {
        std::printf(" %lld", static_cast<long long>(publishAndMeasure(fleet, objects, false)));
    }
    std::printf("; platform down right after acceptance");
    for (int i = 0; i < 3; ++i) {
        std::printf(" %lld", static_cast<long long>(publishAndMeasure(fleet, objects, true)));
        sleepMs(6'000);
    }
    relay.setMode(RelayMode::Blackhole);
    std::printf("; a third cut off");
    for (int i = 0; i < 3; ++i) {
        std::printf(" %lld", static_cast<long long>(publishAndMeasure(fleet, objects, false)));
    }
    std::printf("\n");
    relay.setMode(RelayMode::Forward);
    const auto outageBefore = fleet.platform().calls();
    fleet.platform().setFaults({.down = true});
    sleepMs(20'000);
    const auto outageAfter = fleet.platform().calls();
    fleet.platform().setFaults({});
    sleepMs(10'000);
    const auto calls = fleet.platform().calls();
    const auto sum = [](const std::map<std::string, std::uint64_t> &all) {
        std::uint64_t total = 0;
        for (const auto &[kind, value] : all) {
            total += value;
        }
        return total;
    };
    std::printf("%zu processes: calls/s in the 10 s after an outage of 20 s: %.1f (counted before the outage %llu, within it %llu)\n", count,
        static_cast<double>(sum(calls) - sum(outageAfter)) / 10, static_cast<unsigned long long>(sum(outageBefore)),
        static_cast<unsigned long long>(sum(outageAfter) - sum(outageBefore)));
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    // "calm" as the first argument skips the measurements of publications and outages.
    const bool calmOnly = argc > 1 && std::string(argv[1]) == "calm";
    std::vector<int> sizes;
    for (int i = calmOnly ? 2 : 1; i < argc; ++i) {
        sizes.push_back(std::atoi(argv[i]));
    }
    if (sizes.empty()) {
        sizes = {2, 4, 8, 17, 33, 50};
    }
    for (const int size : sizes) {
        measure(size, !calmOnly);
    }
    return 0;
}
