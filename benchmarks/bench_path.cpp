// Measures the request path on loopback: added latency, orders on fresh connections, look-ups, overload
// and hedged reads. An argument (latency, lookups, overload, hedges) selects one measurement.

#include <standins/fleet.h>
#include <standins/oracle.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstring>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

constexpr double usPerMs = 1'000;

double latencyMs(const std::vector<CallerRecord> &records, CallerResult result, double q, LatencyFrom from = LatencyFrom::Schedule)
{
    return static_cast<double>(latencyQuantile(records, result, q, from)) / usPerMs;
}

void startFleet(Fleet &fleet, const Steering::ObjectSet &objects)
{
    const std::uint64_t generation = fleet.publish(objects);
    fleet.startVms();
    if (!fleet.awaitReady(generation)) {
        std::printf("fleet not ready\n");
        std::exit(1);
    }
}

void addedLatency()
{
    FleetPlan plan;
    plan.regions = {"leinster"};
    plan.upstreamsPerRegion = 4;
    plan.slots = 8;
    plan.queue = 8;
    plan.serviceMs = 2;
    Fleet fleet(plan);
    startFleet(fleet, fleet.objects());
    LoadPlan through;
    through.entries = fleet.entries();
    through.host = plan.host;
    // The four servers have 32 slots together, at 2 ms a request; 16 callers keep half of them busy.
    through.callers = 16;
    through.durationMs = 5'000;
    LoadPlan direct = through;
    direct.entries.clear();
    for (const auto &upstream : fleet.upstreams()) {
        direct.entries.push_back({"127.0.0.1", upstream->port()});
    }
    for (int round = 0; round < 3; ++round) {
        const auto plain = runLoad(direct);
        const auto routed = runLoad(through);
        std::printf("added latency round %d: direct p50 %.3f p99 %.3f ms, through p50 %.3f p99 %.3f ms, added p50 %.3f p99 %.3f ms (%zu and %zu requests)\n",
            round, latencyMs(plain, CallerResult::Answered, 0.5), latencyMs(plain, CallerResult::Answered, 0.99),
            latencyMs(routed, CallerResult::Answered, 0.5), latencyMs(routed, CallerResult::Answered, 0.99),
            latencyMs(routed, CallerResult::Answered, 0.5) - latencyMs(plain, CallerResult::Answered, 0.5),
            latencyMs(routed, CallerResult::Answered, 0.99) - latencyMs(plain, CallerResult::Answered, 0.99), plain.size(), routed.size());
    }
    LoadPlan orders = through;
    orders.postPercent = 100;
    const auto posted = runLoad(orders);
    std::printf(
        "orders (fresh connections): p50 %.3f p99 %.3f ms\n", latencyMs(posted, CallerResult::Answered, 0.5), latencyMs(posted, CallerResult::Answered, 0.99));
}

void lookUps()
{
    FleetPlan plan;
    Fleet fleet(plan);
    startFleet(fleet, fleet.objects());
    LoadPlan load;
    load.entries = {fleet.entries()[0]};
    load.host = "any.test";
    load.path = "/v1/lookup?service=order-ledger";
    load.callers = 16;
    load.durationMs = 5'000;
    const std::int64_t before = fleet.vms()[0].process->cpuMs();
    const auto records = runLoad(load);
    const std::int64_t used = fleet.vms()[0].process->cpuMs() - before;
    std::printf("look-ups: %.0f/s by one process, p50 %.3f p99 %.3f ms, %.1f us of processor time each\n", static_cast<double>(records.size()) / 5,
        latencyMs(records, CallerResult::Answered, 0.5), latencyMs(records, CallerResult::Answered, 0.99),
        static_cast<double>(used) * usPerMs / static_cast<double>(records.size()));
}

void overload()
{
    FleetPlan plan;
    plan.upstreamsPerRegion = 2;
    plan.serviceMs = 20;
    plan.slots = 4;
    plan.queue = 4;
    Fleet fleet(plan);
    startFleet(fleet, fleet.objects());
    // Six servers with 4 slots at 20 ms serve 1200 requests/s. The load is an open loop: requests start at scheduled
    // times regardless of earlier results, and there are enough callers that rejections delay none of them.
    const double capacity = 1'200;
    std::size_t atCapacity = 0;
    for (const int times : {1, 2, 5, 10}) {
        LoadPlan load = fleet.load(5'000, 300);
        load.ratePerSecond = capacity * times;
        load.postPercent = 30;
        load.idPrefix = "x" + std::to_string(times) + "-";
        const auto records = runLoad(load);
        auto counts = countResults(records);
        const OracleFindings findings = compareRecords(records, fleet.runCountsById());
        std::uint64_t shed = 0;
        for (const auto &upstream : fleet.upstreams()) {
            shed += upstream->statistics().shed;
        }
        if (times == 1) {
            atCapacity = counts["answered"];
        }
        std::printf("overload: %d callers, asked %.1f times capacity, answered %zu (%.0f %% of those at capacity), answered p99 %.1f ms, refused %zu, refused "
                    "p50 %.2f p99 %.2f ms, shed by servers %llu, %s\n",
            load.callers, static_cast<double>(records.size()) / 5 / capacity, counts["answered"],
            100.0 * static_cast<double>(counts["answered"]) / static_cast<double>(atCapacity), latencyMs(records, CallerResult::Answered, 0.99),
            counts["not-run"], latencyMs(records, CallerResult::NotExecuted, 0.5, LatencyFrom::Sending),
            latencyMs(records, CallerResult::NotExecuted, 0.99, LatencyFrom::Sending), static_cast<unsigned long long>(shed), describe(findings).c_str());
    }
}

/// Measures reads without and with hedging while one of six servers is twenty times slower than the others.
void hedges()
{
    for (const std::int64_t hedgeAfterMs : {0, 10, 20}) {
        FleetPlan plan;
        plan.regions = {"leinster"};
        plan.upstreamsPerRegion = 6;
        plan.slots = 8;
        plan.queue = 8;
        plan.serviceMs = 5;
        Fleet fleet(plan);
        Steering::ObjectSet objects = fleet.objects();
        objects.services[0].hedgeAfterMs = hedgeAfterMs;
        startFleet(fleet, objects);
        fleet.upstreams()[0]->setServiceMs(100);
        LoadPlan load = fleet.load(5'000, 60);
        // Well below capacity: six servers with 8 slots at 5 ms serve 9600 requests/s.
        load.ratePerSecond = 1'000;
        const auto records = runLoad(load);
        std::uint64_t ran = 0;
        std::uint64_t shed = 0;
        for (const auto &upstream : fleet.upstreams()) {
            ran += upstream->statistics().ran;
            shed += upstream->statistics().shed;
        }
        auto counts = countResults(records);
        std::printf("hedge after %lld ms: p50 %.1f p95 %.1f p99 %.1f ms, answered %zu of %zu, ran %.3f times each, shed %llu\n",
            static_cast<long long>(hedgeAfterMs), latencyMs(records, CallerResult::Answered, 0.5), latencyMs(records, CallerResult::Answered, 0.95),
            latencyMs(records, CallerResult::Answered, 0.99), counts["answered"], records.size(),
            static_cast<double>(ran) / static_cast<double>(records.size()), static_cast<unsigned long long>(shed));
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto selected = [&](const char *name) { return argc < 2 || std::strcmp(argv[1], name) == 0; };
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    if (selected("latency")) {
        addedLatency();
    }
    if (selected("lookups")) {
        lookUps();
    }
    if (selected("overload")) {
        overload();
    }
    if (selected("hedges")) {
        hedges();
    }
    return 0;
}
