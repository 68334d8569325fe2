// Compares load balancing policies in a discrete-event simulation. Several entry VMs send to servers of unequal
// speed, and each VM sees only its own requests. The random seed is fixed.

#include <steering/hash.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace {

enum class BalancingPolicy {
    RoundRobin,
    LeastReportedLoad,
    TwoChoicesByOwnRequests,
    TwoChoicesByFreeUnits,
};

struct Service {
    const char *name;
    int servers;
    int slots;
    double serviceMs;
};

struct Server {
    int running = 0;
    std::vector<double> queue; // arrival times, in ms
    double serviceTimeFactor = 1;
    int reportedLoad = 0;
};

struct Arrival {
    double time;
    int vm;
};

struct Completion {
    double time;
    int server;
    double arrivalTime;
    int vm;
    bool operator>(const Completion &other) const
    {
        return time > other.time;
    }
};

struct SimulationResult {
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
    Simulation(const Service &service, BalancingPolicy policy, double load)
        : service_(service)
        , policy_(policy)
        , random_(20261204)
        , servers_(static_cast<std::size_t>(service.servers))
        , ownRequests_(vms, std::vector<int>(static_cast<std::size_t>(service.servers), 0))
        , nextServer_(vms, 0)
    {
        double capacity = 0;
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            // A third of the servers take twice as long.
            servers_[i].serviceTimeFactor = i % 3 == 0 ? 2 : 1;
            capacity += service.slots / (service.serviceMs * servers_[i].serviceTimeFactor);
        }
        rate_ = capacity * load;
    }

    SimulationResult run()
    {
        double nextReport = 0;
        double nextArrival = 0;
        std::exponential_distribution<double> interarrivalTime(rate_);
        while (nextArrival < endMs) {
            while (!completions_.empty() && completions_.top().time <= nextArrival) {
                finish();
            }
            while (nextReport <= nextArrival) {
                for (Server &server : servers_) {
                    server.reportedLoad = server.running + static_cast<int>(server.queue.size());
                }
                nextReport += reportLagMs;
            }
            arrive(nextArrival);
            nextArrival += interarrivalTime(random_);
        }
        return std::move(result_);
    }

private:
    int queueLimit() const
    {
        return service_.slots;
    }

    int unitShare(int vm, int server) const
    {
        const int units = 2 * service_.slots;
        const auto offset = static_cast<int>(Wasabistair::Steering::hashOf(std::to_string(server)) % vms);
        return units / vms + ((vm - offset + vms) % vms < units % vms ? 1 : 0);
    }

    int selectServer(int vm)
    {
        const int count = static_cast<int>(servers_.size());
        const auto randomServer = [&] { return static_cast<int>(random_() % static_cast<unsigned>(count)); };
        switch (policy_) {
        case BalancingPolicy::RoundRobin:
            return nextServer_[static_cast<std::size_t>(vm)]++ % count;
        case BalancingPolicy::LeastReportedLoad: {
            int best = randomServer();
            for (int i = 0; i < count; ++i) {
                if (servers_[static_cast<std::size_t>(i)].reportedLoad < servers_[static_cast<std::size_t>(best)].reportedLoad) {
                    best = i;
                }
            }
            return best;
        }
        case BalancingPolicy::TwoChoicesByOwnRequests: {
            const int first = randomServer();
            const int second = randomServer();
            const auto &ownRequests = ownRequests_[static_cast<std::size_t>(vm)];
            return ownRequests[static_cast<std::size_t>(second)] < ownRequests[static_cast<std::size_t>(first)] ? second : first;
        }
        case BalancingPolicy::TwoChoicesByFreeUnits:
            return selectByFreeUnits(vm);
        }
        return 0;
    }

    int freeUnits(int vm, int server) const
    {
        return unitShare(vm, server) - ownRequests_[static_cast<std::size_t>(vm)][static_cast<std::size_t>(server)];
    }

    int selectByFreeUnits(int vm)
    {
        const int count = static_cast<int>(servers_.size());
        const int first = static_cast<int>(random_() % static_cast<unsigned>(count));
        const int second = static_cast<int>(random_() % static_cast<unsigned>(count));
        const int best = freeUnits(vm, second) > freeUnits(vm, first) ? second : first;
        if (freeUnits(vm, best) > 0) {
            return best;
        }
        for (int i = 0; i < count; ++i) {
            const int server = (first + i) % count;
            if (freeUnits(vm, server) > 0) {
                return server;
            }
        }
        return -1;
    }

    void arrive(double time)
    {
        const int vm = static_cast<int>(random_() % vms);
        ++result_.total;
        const int index = selectServer(vm);
        if (index < 0) {
            ++result_.shed;
            return;
        }
        Server &server = servers_[static_cast<std::size_t>(index)];
        if (server.running < service_.slots) {
            start(time, index, time, vm);
        } else if (static_cast<int>(server.queue.size()) < queueLimit()) {
            server.queue.push_back(time);
            queuedVms_[static_cast<std::size_t>(index)].push(vm);
        } else {
            ++result_.shed;
            return;
        }
        ++ownRequests_[static_cast<std::size_t>(vm)][static_cast<std::size_t>(index)];
    }

    void start(double time, int index, double arrivalTime, int vm)
    {
        Server &server = servers_[static_cast<std::size_t>(index)];
        ++server.running;
        std::exponential_distribution<double> serviceTime(1 / (service_.serviceMs * server.serviceTimeFactor));
        completions_.push({time + serviceTime(random_), index, arrivalTime, vm});
    }

    void finish()
    {
        const Completion completion = completions_.top();
        completions_.pop();
        Server &server = servers_[static_cast<std::size_t>(completion.server)];
        --server.running;
        --ownRequests_[static_cast<std::size_t>(completion.vm)][static_cast<std::size_t>(completion.server)];
        result_.latencies.push_back(completion.time - completion.arrivalTime);
        if (!server.queue.empty()) {
            const double arrivalTime = server.queue.front();
            server.queue.erase(server.queue.begin());
            auto &vmQueue = queuedVms_[static_cast<std::size_t>(completion.server)];
            const int vm = vmQueue.front();
            vmQueue.pop();
            start(completion.time, completion.server, arrivalTime, vm);
        }
    }

    const Service service_;
    const BalancingPolicy policy_;
    std::mt19937 random_;
    std::vector<Server> servers_;
    std::vector<std::vector<int>> ownRequests_;
    std::vector<int> nextServer_;
    std::vector<std::queue<int>> queuedVms_{static_cast<std::size_t>(service_.servers)};
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;
    double rate_ = 0;
    SimulationResult result_;
};

} // namespace

int main()
{
    const std::vector<Service> services = {{"order-ledger", 24, 4, 20}, {"commission-desk", 12, 4, 20}, {"pattern-archive", 12, 3, 200}, {"glowcat", 16, 6, 10},
        {"glowcart", 12, 3, 30}, {"printdrop", 12, 3, 300}};
    const std::vector<std::pair<BalancingPolicy, const char *>> policies = {{BalancingPolicy::RoundRobin, "round robin"},
        {BalancingPolicy::LeastReportedLoad, "least reported load (1 s lag)"}, {BalancingPolicy::TwoChoicesByOwnRequests, "two choices by own requests"},
        {BalancingPolicy::TwoChoicesByFreeUnits, "two choices by own free units"}};
    std::printf("| service | load | way | p50 ms | p99 ms | shed %% |\n|---|---|---|---|---|---|\n");
    for (const Service &service : services) {
        for (const double load : {0.5, 0.8}) {
            for (const auto &[policy, name] : policies) {
                SimulationResult result = Simulation(service, policy, load).run();
                std::sort(result.latencies.begin(), result.latencies.end());
                const auto latencyAt
                    = [&](double q) { return result.latencies[static_cast<std::size_t>(q * static_cast<double>(result.latencies.size() - 1))]; };
                std::printf(
                    "| %s | %.1f | %s | %.1f | %.1f | %.2f |\n", service.name, load, name, latencyAt(0.5), latencyAt(0.99), 100.0 * result.shed / result.total);
            }
        }
    }
    return 0;
}
