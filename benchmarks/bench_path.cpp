// Figures of the request path on loopback: added latency, look-ups, overload, connections of orders.

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

double ms(const std::vector<CallerRecord> &records, CallerResult result, double q, LatencyFrom from = LatencyFrom::Schedule)
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
    plan.serversPerRegion = 4;
    plan.slots = 8;
    plan.queue = 8;
    plan.serviceMs = 2;
    Fleet fleet(plan);
    startFleet(fleet, fleet.objects());
    LoadPlan through;
    through.entries = fleet.entries();
    through.host = plan.host;
    // 32 slots at 2 ms; 16 callers keep half of them busy.
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
            round, ms(plain, CallerResult::Answered, 0.5), ms(plain, CallerResult::Answered, 0.99), ms(routed, CallerResult::Answered, 0.5),
            ms(routed, CallerResult::Answered, 0.99), ms(routed, CallerResult::Answered, 0.5) - ms(plain, CallerResult::Answered, 0.5),
            ms(routed, CallerResult::Answered, 0.99) - ms(plain, CallerResult::Answered, 0.99), plain.size(), routed.size());
    }
    LoadPlan orders = through;
    orders.postPercent = 100;
    const auto posted = runLoad(orders);
    std::printf("orders (fresh connections): p50 %.3f p99 %.3f ms\n", ms(posted, CallerResult::Answered, 0.5), ms(posted, CallerResult::Answered, 0.99));
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
        ms(records, CallerResult::Answered, 0.5), ms(records, CallerResult::Answered, 0.99),
        static_cast<double>(used) * usPerMs / static_cast<double>(records.size()));
}

void overload()
{
    FleetPlan plan;
    plan.serversPerRegion = 2;
    plan.serviceMs = 20;
    plan.slots = 4;
    plan.queue = 4;
    Fleet fleet(plan);
    startFleet(fleet, fleet.objects());
    // Six servers with 4 slots at 20 ms: 1200 requests/s. Requests begin at fixed times (open loop), however
    // the earlier ones went; callers are so many that refusals hold none of them up.
    const double capacity = 1'200;
    std::size_t atCapacity = 0;
    for (const int times : {1, 2, 5, 10}) {
        LoadPlan load = fleet.load(5'000, 300);
        load.ratePerSecond = capacity * times;
        load.postPercent = 30;
        load.idPrefix = "x" + std::to_string(times) + "-";
        const auto records = runLoad(load);
        auto counts = countResults(records);
        const OracleFindings findings = judge(records, fleet.runsById());
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
            100.0 * static_cast<double>(counts["answered"]) / static_cast<double>(atCapacity), ms(records, CallerResult::Answered, 0.99), counts["not-run"],
            ms(records, CallerResult::NotRun, 0.5, LatencyFrom::Sending), ms(records, CallerResult::NotRun, 0.99, LatencyFrom::Sending),
            static_cast<unsigned long long>(shed), describe(findings).c_str());
    }
}

/// Reads while one of six servers is twenty times slower than the others, without and with hedges.
void hedges()
{
    for (const std::int64_t hedgeAfterMs : {0, 10, 20}) {
        FleetPlan plan;
        plan.regions = {"leinster"};
        plan.serversPerRegion = 6;
        plan.slots = 8;
        plan.queue = 8;
        plan.serviceMs = 5;
        Fleet fleet(plan);
        Steering::ObjectSet objects = fleet.objects();
        objects.services[0].hedgeAfterMs = hedgeAfterMs;
        startFleet(fleet, objects);
        fleet.upstreams()[0]->setServiceMs(100);
        LoadPlan load = fleet.load(5'000, 60);
        // Six servers with 8 slots at 5 ms could do 9600 a second.
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
            static_cast<long long>(hedgeAfterMs), ms(records, CallerResult::Answered, 0.5), ms(records, CallerResult::Answered, 0.95),
            ms(records, CallerResult::Answered, 0.99), counts["answered"], records.size(), static_cast<double>(ran) / static_cast<double>(records.size()),
            static_cast<unsigned long long>(shed));
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto wanted = [&](const char *name) { return argc < 2 || std::strcmp(argv[1], name) == 0; };
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    if (wanted("latency")) {
        addedLatency();
    }
    if (wanted("lookups")) {
        lookUps();
    }
    if (wanted("overload")) {
        overload();
    }
    if (wanted("hedges")) {
        hedges();
    }
    return 0;
}
