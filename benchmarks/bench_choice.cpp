// Compares ways of choosing an upstream, by simulation of queues: several entry VMs that do not see each
// other's requests, servers of unequal speed. Everything is drawn from fixed seeds.

#include <steering/hash.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace {

enum class Way {
    RoundRobin,
    LeastReportedLoad,
    TwoChoices,
    TwoChoicesOwnUnits,
};

struct Deployment {
    const char *name;
    int servers;
    int slots;
    double serviceMs;
};

struct Server {
    int running = 0;
    std::vector<double> waiting; // arrival times
    double speed = 1;
    int reported = 0;
};

struct Arrival {
    double time;
    int vm;
};

struct Event {
    double time;
    int server;
    double arrived;
    int vm;
    bool operator>(const Event &other) const
    {
        return time > other.time;
    }
};

struct Outcome {
    std::vector<double> latencies;
    int shed = 0;
    int total = 0;
};

constexpr int vms = 12;
constexpr double reportLagMs = 1'000;
constexpr double endMs = 60'000;

class Simulation
{
public:
    Simulation(const Deployment &deployment, Way way, double load)
        : deployment_(deployment)
        , way_(way)
        , random_(20261204)
        , servers_(static_cast<std::size_t>(deployment.servers))
        , own_(vms, std::vector<int>(static_cast<std::size_t>(deployment.servers), 0))
        , turn_(vms, 0)
    {
        double capacity = 0;
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            // A third of the servers take twice as long.
            servers_[i].speed = i % 3 == 0 ? 2 : 1;
            capacity += deployment.slots / (deployment.serviceMs * servers_[i].speed);
        }
        rate_ = capacity * load;
    }

    Outcome run()
    {
        double nextReport = 0;
        double nextArrival = 0;
        std::exponential_distribution<double> gap(rate_);
        while (nextArrival < endMs) {
            while (!ends_.empty() && ends_.top().time <= nextArrival) {
                finish();
            }
            while (nextReport <= nextArrival) {
                for (Server &server : servers_) {
                    server.reported = server.running + static_cast<int>(server.waiting.size());
                }
                nextReport += reportLagMs;
            }
            arrive(nextArrival);
            nextArrival += gap(random_);
        }
        return std::move(outcome_);
    }

private:
    int queueLimit() const
    {
        return deployment_.slots;
    }

    int unitsOf(int vm, int server) const
    {
        const int units = 2 * deployment_.slots;
        const auto offset = static_cast<int>(Wasabistair::Steering::hashOf(std::to_string(server)) % vms);
        return units / vms + ((vm - offset + vms) % vms < units % vms ? 1 : 0);
    }

    int choose(int vm)
    {
        const int count = static_cast<int>(servers_.size());
        const auto any = [&] { return static_cast<int>(random_() % static_cast<unsigned>(count)); };
        switch (way_) {
        case Way::RoundRobin:
            return turn_[static_cast<std::size_t>(vm)]++ % count;
        case Way::LeastReportedLoad: {
            int best = any();
            for (int i = 0; i < count; ++i) {
                if (servers_[static_cast<std::size_t>(i)].reported < servers_[static_cast<std::size_t>(best)].reported) {
                    best = i;
                }
            }
            return best;
        }
        case Way::TwoChoices: {
            const int one = any();
            const int two = any();
            const auto &own = own_[static_cast<std::size_t>(vm)];
            return own[static_cast<std::size_t>(two)] < own[static_cast<std::size_t>(one)] ? two : one;
        }
        case Way::TwoChoicesOwnUnits:
            return chooseByUnits(vm);
        }
        return 0;
    }

    int freeUnits(int vm, int server) const
    {
        return unitsOf(vm, server) - own_[static_cast<std::size_t>(vm)][static_cast<std::size_t>(server)];
    }

    int chooseByUnits(int vm)
    {
        const int count = static_cast<int>(servers_.size());
        const int one = static_cast<int>(random_() % static_cast<unsigned>(count));
        const int two = static_cast<int>(random_() % static_cast<unsigned>(count));
        const int best = freeUnits(vm, two) > freeUnits(vm, one) ? two : one;
        if (freeUnits(vm, best) > 0) {
            return best;
        }
        for (int i = 0; i < count; ++i) {
            const int server = (one + i) % count;
            if (freeUnits(vm, server) > 0) {
                return server;
            }
        }
        return -1;
    }

    void arrive(double time)
    {
        const int vm = static_cast<int>(random_() % vms);
        ++outcome_.total;
        const int index = choose(vm);
        if (index < 0) {
            ++outcome_.shed;
            return;
        }
        Server &server = servers_[static_cast<std::size_t>(index)];
        if (server.running < deployment_.slots) {
            start(time, index, time, vm);
        } else if (static_cast<int>(server.waiting.size()) < queueLimit()) {
            server.waiting.push_back(time);
            waitingVms_[static_cast<std::size_t>(index)].push(vm);
        } else {
            ++outcome_.shed;
            return;
        }
        ++own_[static_cast<std::size_t>(vm)][static_cast<std::size_t>(index)];
    }

    void start(double time, int index, double arrived, int vm)
    {
        Server &server = servers_[static_cast<std::size_t>(index)];
        ++server.running;
        std::exponential_distribution<double> work(1 / (deployment_.serviceMs * server.speed));
        ends_.push({time + work(random_), index, arrived, vm});
    }

    void finish()
    {
        const Event event = ends_.top();
        ends_.pop();
        Server &server = servers_[static_cast<std::size_t>(event.server)];
        --server.running;
        --own_[static_cast<std::size_t>(event.vm)][static_cast<std::size_t>(event.server)];
        outcome_.latencies.push_back(event.time - event.arrived);
        if (!server.waiting.empty()) {
            const double arrived = server.waiting.front();
            server.waiting.erase(server.waiting.begin());
            auto &queue = waitingVms_[static_cast<std::size_t>(event.server)];
            const int vm = queue.front();
            queue.pop();
            start(event.time, event.server, arrived, vm);
        }
    }

    const Deployment deployment_;
    const Way way_;
    std::mt19937 random_;
    std::vector<Server> servers_;
    std::vector<std::vector<int>> own_;
    std::vector<int> turn_;
    std::vector<std::queue<int>> waitingVms_{static_cast<std::size_t>(deployment_.servers)};
    std::priority_queue<Event, std::vector<Event>, std::greater<>> ends_;
    double rate_ = 0;
    Outcome outcome_;
};

} // namespace

int main()
{
    const std::vector<Deployment> deployments = {{"order-ledger", 24, 4, 20}, {"commission-desk", 12, 4, 20}, {"pattern-archive", 12, 3, 200},
        {"glowcat", 16, 6, 10}, {"glowcart", 12, 3, 30}, {"printdrop", 12, 3, 300}};
    const std::vector<std::pair<Way, const char *>> ways = {{Way::RoundRobin, "round robin"}, {Way::LeastReportedLoad, "least reported load (1 s lag)"},
        {Way::TwoChoices, "two choices by own requests"}, {Way::TwoChoicesOwnUnits, "two choices by own free units"}};
    std::printf("| service | load | way | p50 ms | p99 ms | shed %% |\n|---|---|---|---|---|---|\n");
    for (const Deployment &deployment : deployments) {
        for (const double load : {0.5, 0.8}) {
            for (const auto &[way, name] : ways) {
                Outcome outcome = Simulation(deployment, way, load).run();
                std::sort(outcome.latencies.begin(), outcome.latencies.end());
                const auto at = [&](double q) { return outcome.latencies[static_cast<std::size_t>(q * static_cast<double>(outcome.latencies.size() - 1))]; };
                std::printf("| %s | %.1f | %s | %.1f | %.1f | %.2f |\n", deployment.name, load, name, at(0.5), at(0.99), 100.0 * outcome.shed / outcome.total);
            }
        }
    }
    return 0;
}
