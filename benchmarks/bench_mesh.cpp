// Measures the processor time that the mesh of one process takes in fleets too large to run on one machine. The
// real Mesh runs on a transport that delivers what the peers in a fleet of that size would send. For the first relay
// of a zone and for an ordinary VM it prints the time of one tick (ten a second) and of one received heartbeat, and
// the share of a core that both take.

#include <nodes/mesh.h>
#include <nodes/topology.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

using namespace Wasabistair;
using namespace Wasabistair::Nodes;

namespace {

constexpr int zones = 10;
constexpr int upstreamsPerVm = 1;
constexpr int ticks = 200;
constexpr double ticksPerSecond = 10;
constexpr double usPerSecond = 1e6;
constexpr double percent = 100;

/// Accepts every connection; counts and discards the messages sent.
class DroppingTransport: public Transport
{
public:
    void start(TransportHandlers transportHandlers) override
    {
        handlers = std::move(transportHandlers);
    }
    void stop() override
    {}
    ConnectionId connect(const std::string &host, std::uint16_t) override
    {
        connectedHosts[++lastConnection] = host;
        return lastConnection;
    }
    void send(ConnectionId, const std::string &bytes) override
    {
        ++sentMessages;
        sentBytes += bytes.size();
    }
    void close(ConnectionId connection) override
    {
        connectedHosts.erase(connection);
    }
    std::uint64_t bytesSent() const override
    {
        return sentBytes;
    }
    std::uint64_t bytesReceived() const override
    {
        return 0;
    }

    TransportHandlers handlers;
    ConnectionId lastConnection = 0;
    std::map<ConnectionId, std::string> connectedHosts;
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
};

Platform::VmList makeVmList(int vmsPerZone)
{
    Platform::VmList list;
    list.version = 1;
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < vmsPerZone; ++i) {
            const std::string name = "region-zone-" + std::to_string(zone);
            const std::string id = name + "-entry-" + std::to_string(i);
            // The host is the VM's id, so that the transport can map a connection to its VM.
            list.vms.push_back({id, Steering::VmKind::Entry, Steering::VmState::Live, id, 8080, 8081, "region", name, "", 0});
            for (int server = 0; server < upstreamsPerVm; ++server) {
                list.vms.push_back(
                    {id + "-server-" + std::to_string(server), Steering::VmKind::Upstream, Steering::VmState::Live, id, 8080, 0, "region", name, "service", 0});
            }
        }
    }
    return list;
}

double averageMicroseconds(const std::function<void()> &function, int times)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i) {
        function();
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / times;
}

class Measurement
{
public:
    Measurement(const Platform::VmList &list, const Steering::Vm &self)
        : timeline_(hybridClock_, self.id, 1)
        , mesh_(transport_, clock_, hybridClock_, timeline_, {self.id, 1, {}})
    {
        mesh_.start({[](std::uint64_t, const std::string &) {}, [](const Platform::ListDelta &) {}, [](const VmReport &) {}, [] {},
            [](const std::string &) { return std::nullopt; }, [](Platform::Version) { return Platform::ListDelta{}; }});
        mesh_.setList(list);
        mesh_.setState(1, "digest", true);
        mesh_.tick();
        const auto connectedHosts = transport_.connectedHosts;
        for (const auto &[id, host] : connectedHosts) {
            openLink(id, true, host);
        }
        // The other members of a relay's zone connect to the relay.
        for (const Steering::Vm &vm : list.vms) {
            const bool connected = std::any_of(connectedHosts.begin(), connectedHosts.end(), [&](const auto &entry) { return entry.second == vm.id; });
            if (vm.kind == Steering::VmKind::Entry && vm.zone == self.zone && vm.id != self.id && !connected && mesh_.isRelay()) {
                openLink(++transport_.lastConnection, false, vm.id);
            }
        }
    }

    void print(int vms, const char *role)
    {
        const auto runTick = [this] {
            mesh_.tick();
            static_cast<void>(mesh_.unavailable());
        };
        const double tickUs = averageMicroseconds(runTick, ticks);
        std::uint64_t sequence = 1;
        const auto receiveHeartbeats = [&] {
            ++sequence;
            for (const ConnectionId id : links_) {
                transport_.handlers.received(id, encodedHeartbeat(sequence));
            }
        };
        const double heartbeatUs = averageMicroseconds(receiveHeartbeats, ticks) / static_cast<double>(std::max<std::size_t>(1, links_.size()));
        const double heartbeatsPerSecond = static_cast<double>(links_.size()) * 1'000 / Mesh::heartbeatMs;
        const double share = percent * (tickUs * ticksPerSecond + heartbeatUs * heartbeatsPerSecond) / usPerSecond;
        std::printf("| %d | %s | %zu | %.0f | %.1f | %.2f |\n", vms, role, links_.size(), tickUs, heartbeatUs, share);
    }

private:
    static std::string encodedHeartbeat(std::uint64_t sequence)
    {
        Heartbeat heartbeat;
        heartbeat.sequence = sequence;
        heartbeat.generation = 1;
        heartbeat.listVersion = 1;
        heartbeat.available = true;
        return encodeMessage(heartbeat);
    }

    void openLink(ConnectionId id, bool outgoing, const std::string &node)
    {
        transport_.handlers.opened(id, outgoing, node);
        transport_.handlers.received(id, encodeMessage(Hello{node, 1}));
        transport_.handlers.received(id, encodedHeartbeat(1));
        links_.push_back(id);
    }

    DroppingTransport transport_;
    Base::SystemClock clock_;
    Base::HybridClock hybridClock_{clock_};
    Base::Timeline timeline_;
    Mesh mesh_;
    std::vector<ConnectionId> links_;
};

} // namespace

int main()
{
    std::printf("| entry VMs | role | links | us a tick | us a heartbeat received | %% of a core |\n|---|---|---|---|---|---|\n");
    for (const int vmsPerZone : {2, 5, 15, 34, 68}) {
        const Platform::VmList list = makeVmList(vmsPerZone);
        const std::vector<std::string> relays = relaysOf(list.vms, list.vms.front().zone, {});
        for (const Steering::Vm &vm : list.vms) {
            if (vm.id == relays.front()) {
                Measurement(list, vm).print(zones * vmsPerZone, "relay");
            }
        }
        for (const Steering::Vm &vm : list.vms) {
            const bool ordinary = vm.kind == Steering::VmKind::Entry && std::find(relays.begin(), relays.end(), vm.id) == relays.end();
            if (ordinary && vm.zone == list.vms.front().zone) {
                Measurement(list, vm).print(zones * vmsPerZone, "ordinary");
                break;
            }
        }
    }
    return 0;
}
