// Measures the three figures of the review (latency, headroom, drain time) for each service of both deployments at
// their real sizes with 12 entry VMs: at half of capacity, during a planned stop of two servers, and with one region dead.
// Everything runs on loopback, so delays between regions are not modelled. An argument selects a deployment or service.

#include <standins/fleet.h>
#include <standins/oracle.h>

#include <operators/reviewreader.h>
#include <platform/objectstore.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

struct Service {
    const char *deployment;
    const char *name;
    std::vector<std::string> regions;
    int upstreamsPerRegion;
    int slots;
    double serviceMs;
};

constexpr int entryVmsPerRegion = 4;
constexpr int phaseMs = 5'000;
constexpr int stopLeadMs = 1'500;
constexpr int reportMs = 500;
constexpr double usPerMs = 1'000;
constexpr double msPerSecond = 1'000;

Operators::Figures reviewOf(Fleet &fleet)
{
    const auto figures = Platform::tryStore([&] { return Operators::readMonthFigures(fleet.store(), Operators::monthOf(Base::SystemClock().wall())); });
    return figures ? *figures.value : Operators::Figures{};
}

struct Headroom {
    double mean = 0;
    double lowest = 0;
};

/// Returns the mean headroom between two readings of the review, and the lowest headroom of the whole run, in percent.
Headroom headroomBetween(const Operators::Figures &before, const Operators::Figures &after)
{
    std::uint64_t usable = 0;
    std::uint64_t used = 0;
    std::uint64_t peak = 0;
    for (const auto &[key, place] : after.places) {
        const auto earlier = before.places.find(key);
        usable += place.usableUnits - (earlier == before.places.end() ? 0 : earlier->second.usableUnits);
        used += place.usedUnits - (earlier == before.places.end() ? 0 : earlier->second.usedUnits);
        peak = std::max(peak, place.peakPermille);
    }
    const double mean = usable == 0 ? 0 : 100.0 * (1 - static_cast<double>(used) / static_cast<double>(usable));
    return {mean, 100.0 - static_cast<double>(peak) / 10};
}

void printRow(
    const Service &service, const char *phase, Fleet &fleet, const std::vector<CallerRecord> &records, const Headroom &headroom, const std::string &drain)
{
    auto counts = countResults(records);
    std::uint64_t shed = 0;
    for (const auto &upstream : fleet.upstreams()) {
        shed += upstream->statistics().shed;
    }
    const double requestCount = static_cast<double>(std::max<std::size_t>(1, records.size()));
    std::printf("| %s | %s | %s | %zu | %.1f | %.1f | %.2f | %.0f, %.0f | %s | %llu |\n", service.deployment, service.name, phase, records.size(),
        static_cast<double>(latencyQuantile(records, CallerResult::Answered, 0.5)) / usPerMs,
        static_cast<double>(latencyQuantile(records, CallerResult::Answered, 0.99)) / usPerMs,
        100.0 * (requestCount - static_cast<double>(counts["answered"])) / requestCount, headroom.mean, headroom.lowest, drain.c_str(),
        static_cast<unsigned long long>(shed));
}

class Run
{
public:
    explicit Run(const Service &service)
        : service_(service)
        , fleet_(planOf(service))
    {}

    void runPhases()
    {
        objects_ = fleet_.objects();
        generation_ = fleet_.publish(objects_);
        fleet_.startVms();
        if (!fleet_.awaitReady(generation_, 60'000)) {
            std::printf("%s: fleet not ready\n", service_.name);
            return;
        }
        sleepMs(12'000); // a new fleet withholds its units for 10 s
        measureHalfLoad();
        measurePlannedStop();
        measureDeadRegion();
    }

private:
    static FleetPlan planOf(const Service &service)
    {
        FleetPlan plan;
        plan.regions = service.regions;
        plan.entryVmsPerRegion = entryVmsPerRegion;
        plan.upstreamsPerRegion = service.upstreamsPerRegion;
        plan.slots = service.slots;
        plan.queue = service.slots;
        plan.serviceMs = service.serviceMs;
        plan.service = service.name;
        plan.extraSettings = {"--report-interval-ms=" + std::to_string(reportMs)};
        return plan;
    }

    LoadPlan halfLoad(const char *prefix) const
    {
        const double servers = service_.upstreamsPerRegion * static_cast<double>(service_.regions.size());
        LoadPlan load = fleet_.load(phaseMs, 120);
        load.ratePerSecond = servers * service_.slots * msPerSecond / service_.serviceMs / 2;
        load.postPercent = 20;
        load.idPrefix = prefix;
        return load;
    }

    void measureHalfLoad()
    {
        const Operators::Figures before = reviewOf(fleet_);
        const auto records = runLoad(halfLoad("calm"));
        sleepMs(2 * reportMs);
        printRow(service_, "half of capacity", fleet_, records, headroomBetween(before, reviewOf(fleet_)), "");
    }

    void measurePlannedStop()
    {
        const std::string region = service_.regions.front();
        const std::int64_t start = Base::SystemClock().wall() + stopLeadMs + 1'000;
        for (const char *server : {"-server-0", "-server-1"}) {
            objects_.plannedStops.push_back(
                {"stop" + std::string(server), std::string(service_.name) + "-" + region, "", region + server, start, start + 3'600'000});
        }
        generation_ = fleet_.publish(objects_);
        const Operators::Figures before = reviewOf(fleet_);
        const auto records = runLoad(halfLoad("stop"));
        sleepMs(2 * reportMs);
        const Operators::Figures after = reviewOf(fleet_);
        std::string drain = generation_ == 0 ? "not accepted" : "";
        for (const auto &[name, stop] : after.stops) {
            drain += (drain.empty() ? "" : ", ") + std::to_string(stop.lastEnd - stop.start) + " ms" + (stop.inFlight > 0 ? " (in flight)" : "");
        }
        printRow(service_, "planned stop of 2 servers", fleet_, records, headroomBetween(before, after), drain);
    }

    void measureDeadRegion()
    {
        const std::string region = service_.regions.back();
        LoadPlan load = halfLoad("dead");
        load.entries.clear();
        for (EntryVm &entry : fleet_.vms()) {
            if (entry.vm.region == region) {
                entry.process->kill();
            } else {
                load.entries.push_back(entry.address());
            }
        }
        for (int i = 0; i < service_.upstreamsPerRegion; ++i) {
            fleet_.upstreams()[fleet_.upstreams().size() - 1 - static_cast<std::size_t>(i)]->setUnresponsive(true);
        }
        const Operators::Figures before = reviewOf(fleet_);
        const auto records = runLoad(load);
        sleepMs(2 * reportMs);
        printRow(service_, "a region dead, all its callers elsewhere", fleet_, records, headroomBetween(before, reviewOf(fleet_)), "");
        for (const auto &upstream : fleet_.upstreams()) {
            upstream->setUnresponsive(false);
        }
    }

    const Service service_;
    Fleet fleet_;
    Steering::ObjectSet objects_;
    std::uint64_t generation_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const std::vector<std::string> agency = {"leinster", "munster", "connacht"};
    const std::vector<std::string> lumira = {"levant", "gulf", "europe"};
    // The service times are assumptions, the same as in bench_choice.
    const std::vector<Service> services
        = {{"agency", "order-ledger", agency, 8, 4, 20}, {"agency", "commission-desk", agency, 4, 4, 20}, {"agency", "pattern-archive", agency, 4, 3, 200},
            {"lumira", "glowcat", lumira, 5, 6, 10}, {"lumira", "glowcart", lumira, 4, 3, 30}, {"lumira", "printdrop", lumira, 4, 3, 300}};
    std::printf("| deployment | service | phase | requests | p50 ms | p99 ms | not answered %% | headroom %% mean, lowest | drain time | shed by servers |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|\n");
    for (const Service &service : services) {
        if (argc < 2 || std::strcmp(argv[1], service.deployment) == 0 || std::strcmp(argv[1], service.name) == 0) {
            Run(service).runPhases();
        }
    }
    return 0;
}
