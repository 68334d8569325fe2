// Processor time of one process's mesh at sizes that do not run on one machine: the real Mesh with a transport
// that delivers what the peers of a fleet of that size would send. Prints for the first relay of a zone and for
// an ordinary VM: time of one tick (ten a second), of one received heartbeat, and their share of a core.

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

/// Accepts every connection, drops what is sent, and counts it.
class DroppingTransport: public Transport
{
public:
    void start(TransportHandlers given) override
    {
        handlers = std::move(given);
    }
    void stop() override
    {}
    ConnectionId connect(const std::string &host, std::uint16_t) override
    {
        dialled[++last] = host;
        return last;
    }
    void send(ConnectionId, const std::string &bytes) override
    {
        ++messages;
        sent += bytes.size();
    }
    void close(ConnectionId connection) override
    {
        dialled.erase(connection);
    }
    std::uint64_t bytesSent() const override
    {
        return sent;
    }
    std::uint64_t bytesReceived() const override
    {
        return 0;
    }

    TransportHandlers handlers;
    ConnectionId last = 0;
    std::map<ConnectionId, std::string> dialled;
    std::uint64_t messages = 0;
    std::uint64_t sent = 0;
};

Platform::VmList listOf(int vmsPerZone)
{
    Platform::VmList list;
    list.version = 1;
    for (int zone = 0; zone < zones; ++zone) {
        for (int i = 0; i < vmsPerZone; ++i) {
            const std::string name = "region-zone-" + std::to_string(zone);
            const std::string id = name + "-entry-" + std::to_string(i);
            // The host names the VM, so that the transport knows who was dialled.
            list.vms.push_back({id, Steering::VmKind::Entry, Steering::VmState::Live, id, 8080, 8081, "region", name, "", 0});
            for (int server = 0; server < upstreamsPerVm; ++server) {
                list.vms.push_back(
                    {id + "-server-" + std::to_string(server), Steering::VmKind::Upstream, Steering::VmState::Live, id, 8080, 0, "region", name, "service", 0});
            }
        }
    }
    return list;
}

double microsecondsOf(const std::function<void()> &work, int times)
{
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i) {
        work();
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
        mesh_.start({[](std::uint64_t, const std::string &) {}, [](const Platform::ListDelta &) {}, [](const Report &) {}, [] {},
            [](const std::string &) { return std::nullopt; }, [](Platform::Version) { return Platform::ListDelta{}; }});
        mesh_.setList(list);
        mesh_.setState(1, "digest", true);
        mesh_.tick();
        const auto dialled = transport_.dialled;
        for (const auto &[id, host] : dialled) {
            greet(id, true, host);
        }
        // A relay is dialled by the members of its zone.
        for (const Steering::Vm &vm : list.vms) {
            const bool known = std::any_of(dialled.begin(), dialled.end(), [&](const auto &entry) { return entry.second == vm.id; });
            if (vm.kind == Steering::VmKind::Entry && vm.zone == self.zone && vm.id != self.id && !known && mesh_.isRelay()) {
                greet(++transport_.last, false, vm.id);
            }
        }
    }

    void print(int vms, const char *role)
    {
        const auto onTick = [this] {
            mesh_.tick();
            static_cast<void>(mesh_.unavailable());
        };
        const double tickUs = microsecondsOf(onTick, ticks);
        std::uint64_t sequence = 1;
        const auto onBeat = [&] {
            ++sequence;
            for (const ConnectionId id : links_) {
                transport_.handlers.received(id, beat(sequence));
            }
        };
        const double beatUs = microsecondsOf(onBeat, ticks) / static_cast<double>(std::max<std::size_t>(1, links_.size()));
        const double beatsPerSecond = static_cast<double>(links_.size()) * 1'000 / Mesh::heartbeatMs;
        const double share = percent * (tickUs * ticksPerSecond + beatUs * beatsPerSecond) / usPerSecond;
        std::printf("| %d | %s | %zu | %.0f | %.1f | %.2f |\n", vms, role, links_.size(), tickUs, beatUs, share);
    }

private:
    static std::string beat(std::uint64_t sequence)
    {
        Heartbeat heartbeat;
        heartbeat.sequence = sequence;
        heartbeat.generation = 1;
        heartbeat.listVersion = 1;
        heartbeat.available = true;
        return encodeMessage(heartbeat);
    }

    void greet(ConnectionId id, bool outgoing, const std::string &node)
    {
        transport_.handlers.opened(id, outgoing, node);
        transport_.handlers.received(id, encodeMessage(Hello{node, 1}));
        transport_.handlers.received(id, beat(1));
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
        const Platform::VmList list = listOf(vmsPerZone);
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
