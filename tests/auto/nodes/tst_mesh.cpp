#include <doctest/doctest.h>

#include <nodes/mesh.h>
#include <nodes/topology.h>
#include <nodes/websockettransport.h>
#include <standins/fleet.h>
#include <standins/ports.h>
#include <standins/tcprelay.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Nodes;

namespace {

constexpr int waitMs = 30'000;

/// The mesh of one VM, run inside the test process.
struct Node {
    Node(const std::string &id, std::uint16_t port, std::uint64_t incarnation)
        : transport("127.0.0.1", port)
        , timeline(hybridClock, id, incarnation)
        , mesh(transport, clock, hybridClock, timeline, {id, incarnation, {}})
    {
        MeshHandlers handlers;
        handlers.newerGenerationReceived
            = [this](std::uint64_t generation, const std::string &) { highestGenerationReceived = std::max(highestGenerationReceived.load(), generation); };
        handlers.listReceived = [this](const Platform::ListDelta &delta) {
            if (const auto next = Platform::applyDelta(list, delta)) {
                mesh.setList(*next);
            }
        };
        handlers.reportReceived = [this](const VmReport &) { ++reports; };
        handlers.contact = [] {};
        handlers.part = [](const std::string &digest) { return digest == "known" ? std::optional<std::string>("bytes") : std::nullopt; };
        handlers.listDelta = [this](Platform::Version) { return Platform::deltaBetween({}, list); };
        mesh.start(std::move(handlers));
        tickThread = std::thread([this] {
            while (!stop) {
                if (!paused) {
                    mesh.tick();
                }
                StandIns::sleepMs(50);
            }
        });
    }

    ~Node()
    {
        stop = true;
        tickThread.join();
        transport.stop();
    }

    Base::SystemClock clock;
    Base::HybridClock hybridClock{clock};
    WebSocketTransport transport;
    Base::Timeline timeline;
    std::atomic<std::uint64_t> highestGenerationReceived{0};
    std::atomic<int> reports{0};
    std::atomic<bool> stop{false};
    std::atomic<bool> paused{false};
    Platform::VmList list;
    Mesh mesh;
    std::thread tickThread;
};

struct MeshFixture {
    explicit MeshFixture(int vmsPerZone = 2)
    {
        list.version = 1;
        for (int i = 0; i < 2 * vmsPerZone; ++i) {
            const std::string zone = i < vmsPerZone ? "z0" : "z1";
            list.vms.push_back(
                {"n" + std::to_string(i), Steering::VmKind::Entry, Steering::VmState::Live, "127.0.0.1", 1, StandIns::freePort(), "r", zone, "", 0});
        }
        for (const Steering::Vm &vm : list.vms) {
            start(vm);
        }
    }

    void start(const Steering::Vm &vm)
    {
        nodes.push_back(std::make_unique<Node>(vm.id, vm.nodePort, ++incarnation));
        nodes.back()->list = list;
        nodes.back()->mesh.setList(list);
        nodes.back()->mesh.setState(1, "digest", true);
    }

    bool allLinked() const
    {
        return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) { return node->mesh.peersWithHeartbeat() == 3; });
    }

    Platform::VmList list;
    std::vector<std::unique_ptr<Node>> nodes;
    std::uint64_t incarnation = 0;
};

} // namespace

TEST_CASE_FIXTURE(MeshFixture, "mesh_generationOfOneNode_isSeenByAll")
{
    REQUIRE(StandIns::eventually([&] { return allLinked(); }, waitMs));
    nodes[0]->mesh.setState(5, "digest", true);
    CHECK(StandIns::eventually(
        [&] { return nodes[1]->highestGenerationReceived == 5 && nodes[2]->highestGenerationReceived == 5 && nodes[3]->highestGenerationReceived == 5; },
        waitMs));
    CHECK(nodes[2]->mesh.fetchPart("known", 5, 5'000) == "bytes");
    CHECK_FALSE(nodes[2]->mesh.fetchPart("unknown", 5, 1'000).has_value());
    CHECK_FALSE(nodes[2]->mesh.fetchPart("known", 6, 1'000).has_value());
}

TEST_CASE_FIXTURE(MeshFixture, "mesh_nodeRestartsUnderItsAddress_isSuspectedAndReconnected")
{
    REQUIRE(StandIns::eventually([&] { return allLinked(); }, waitMs));
    CHECK(nodes[0]->mesh.unavailable().empty());
    nodes.pop_back();
    CHECK(StandIns::eventually([&] { return nodes[0]->mesh.unavailable() == std::vector<std::string>{"n3"}; }, waitMs));
    start(list.vms[3]);
    CHECK(StandIns::eventually([&] { return allLinked() && nodes[0]->mesh.unavailable().empty(); }, waitMs));
}

TEST_CASE("mesh_ordinaryVmRestarts_isAvailableEverywhereAgain")
{
    // Zones of four: two relays and two ordinary VMs each. Ordinary VMs get each other's state from relays only.
    MeshFixture fixture(4);
    const auto &nodes = fixture.nodes;
    const auto allReport = [&](const std::vector<std::string> &unavailable) {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto &node) { return node->mesh.unavailable() == unavailable; });
    };
    const auto linked = [&] { return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) { return node->mesh.peersWithHeartbeat() >= 2; }); };
    REQUIRE(StandIns::eventually([&] { return linked() && allReport({}); }, waitMs));
    const auto ordinary = std::find_if(nodes.begin(), nodes.end(), [](const auto &node) { return !node->mesh.isRelay(); });
    const Steering::Vm vm = fixture.list.vms[static_cast<std::size_t>(ordinary - nodes.begin())];
    fixture.nodes.erase(ordinary);
    CHECK(StandIns::eventually([&] { return allReport({vm.id}); }, 2 * waitMs));
    fixture.start(vm);
    CHECK(StandIns::eventually([&] { return allReport({}); }, 2 * waitMs));
}

TEST_CASE_FIXTURE(MeshFixture, "mesh_nodeSendsNothing_isReportedDown")
{
    REQUIRE(StandIns::eventually([&] { return allLinked(); }, waitMs));
    // Its connections stay open, but it neither sends nor dials.
    nodes[3]->paused = true;
    CHECK(StandIns::eventually([&] { return nodes[0]->timeline.all().back().kind == Base::EventKind::PeerDown; }, waitMs));
}

// Guards against a peer that was lost while this VM stood still, and counts as connected since its last heartbeats were read.
TEST_CASE_FIXTURE(MeshFixture, "mesh_heartbeatReadLate_countsFromItsSending")
{
    REQUIRE(StandIns::eventually([&] { return allLinked(); }, waitMs));
    nodes[1].reset();
    std::atomic<int> closed{0};
    WebSocketTransport peer("127.0.0.1", StandIns::freePort());
    peer.start({[](ConnectionId, bool, const std::string &) {}, [](ConnectionId, const std::string &) {}, [&](ConnectionId) { ++closed; }});
    const ConnectionId id = peer.connect("127.0.0.1", list.vms[0].nodePort);
    StandIns::sleepMs(300);
    Heartbeat heartbeat;
    heartbeat.sequence = 1;
    heartbeat.sentAt = 1'000'000;
    peer.send(id, encodeMessage(Hello{"n1", 1'000}));
    peer.send(id, encodeMessage(heartbeat));
    constexpr int lateMs = 7'000;
    constexpr int toleranceMs = 2'000;
    StandIns::sleepMs(lateMs);
    heartbeat.sequence = 2;
    heartbeat.sentAt += 1;
    peer.send(id, encodeMessage(heartbeat));
    REQUIRE(closed == 0);
    CHECK(StandIns::eventually([&] { return closed == 1; }, static_cast<int>(Mesh::suspectAfterMs) - lateMs + toleranceMs));
    peer.stop();
    nodes.erase(nodes.begin() + 1);
}

TEST_CASE_FIXTURE(MeshFixture, "mesh_unlistedPeersAndInvalidMessages_areRejectedAndOthersStayConnected")
{
    REQUIRE(StandIns::eventually([&] { return allLinked(); }, waitMs));
    std::vector<std::string> received;
    std::atomic<int> closed{0};
    WebSocketTransport unlistedPeer("127.0.0.1", StandIns::freePort());
    unlistedPeer.start({[](ConnectionId, bool, const std::string &) {}, [](ConnectionId, const std::string &) {}, [&](ConnectionId) { ++closed; }});
    const std::vector<std::string> invalidMessages
        = {"garbage", std::string(1'000'000, '\x81'), encodeMessage(Hello{"not-listed", 1}), encodeMessage(Heartbeat{}), encodeMessage(Hello{"n0", 1})};
    for (const std::string &invalidMessage : invalidMessages) {
        const ConnectionId id = unlistedPeer.connect("127.0.0.1", list.vms[0].nodePort);
        StandIns::sleepMs(300);
        unlistedPeer.send(id, invalidMessage);
    }
    CHECK(StandIns::eventually([&] { return closed == static_cast<int>(invalidMessages.size()); }, waitMs));
    CHECK(nodes[0]->mesh.status().refusedMessages >= invalidMessages.size());
    CHECK(allLinked());
    CHECK(nodes[1]->highestGenerationReceived <= 1);
}

TEST_CASE_FIXTURE(MeshFixture, "mesh_partsThatNobodyAskedFor_areNotKept")
{
    // Guards against a faulty peer that fills the memory of others with parts.
    REQUIRE(StandIns::eventually([&] { return allLinked(); }, waitMs));
    constexpr std::size_t sentParts = 50;
    nodes[1].reset();
    WebSocketTransport faultyPeer("127.0.0.1", StandIns::freePort());
    faultyPeer.start({[](ConnectionId, bool, const std::string &) {}, [](ConnectionId, const std::string &) {}, [](ConnectionId) {}});
    const ConnectionId id = faultyPeer.connect("127.0.0.1", list.vms[0].nodePort);
    StandIns::sleepMs(300);
    faultyPeer.send(id, encodeMessage(Hello{"n1", 1'000}));
    const std::uint64_t before = nodes[0]->mesh.status().refusedMessages;
    for (std::size_t i = 0; i < sentParts; ++i) {
        faultyPeer.send(id, encodeMessage(PartReply{"digest-" + std::to_string(i), true, std::string(10'000, 'p')}));
        faultyPeer.send(id, encodeMessage(PartReply{"missing-" + std::to_string(i), false, ""}));
    }
    CHECK(StandIns::eventually([&] { return nodes[0]->mesh.status().refusedMessages >= before + 2 * sentParts; }, waitMs));
    faultyPeer.stop();
    nodes.erase(nodes.begin() + 1);
}

TEST_CASE("mesh_report_reachesTheCollectorOfItsGroupAlone")
{
    MeshFixture fixture(4);
    const auto &nodes = fixture.nodes;
    const auto linked = [&] { return std::all_of(nodes.begin(), nodes.end(), [](const auto &node) { return node->mesh.peersWithHeartbeat() >= 2; }); };
    REQUIRE(StandIns::eventually(linked, waitMs));
    std::vector<int> expected(nodes.size(), 0);
    std::size_t remoteSender = nodes.size();
    for (std::size_t sender = 0; sender < nodes.size(); ++sender) {
        const std::size_t first = sender < 4 ? 0 : 4;
        const std::size_t group = reportGroupOf(fixture.list.vms[sender].id);
        std::vector<std::size_t> collectors;
        for (std::size_t i = first; i < first + 4; ++i) {
            if (nodes[i]->mesh.collectsReportsOf(group)) {
                collectors.push_back(i);
            }
        }
        REQUIRE(collectors.size() == 1);
        if (collectors.front() != sender) {
            ++expected[collectors.front()];
            remoteSender = sender;
        }
        nodes[sender]->mesh.sendReport({fixture.list.vms[sender].id, 1, "{}"});
    }
    const auto arrived
        = [&] { return std::equal(nodes.begin(), nodes.end(), expected.begin(), [](const auto &node, int count) { return node->reports == count; }); };
    CHECK(StandIns::eventually(arrived, waitMs));
    // A report in the name of another VM is rejected.
    REQUIRE(remoteSender < nodes.size());
    nodes[remoteSender]->mesh.sendReport({"n999", 1, "{}"});
    const auto refused = [&] { return std::count_if(nodes.begin(), nodes.end(), [](const auto &node) { return node->mesh.status().refusedMessages == 1; }); };
    CHECK(StandIns::eventually([&] { return refused() == 1; }, waitMs));
    CHECK(arrived());
}

TEST_CASE_FIXTURE(MeshFixture, "mesh_newList_reachesNodesThatDoNotAskThePlatform")
{
    REQUIRE(StandIns::eventually([&] { return allLinked(); }, waitMs));
    Platform::VmList next = list;
    next.version = 2;
    next.vms.pop_back();
    nodes[0]->list = next;
    nodes[0]->mesh.setList(next);
    CHECK(StandIns::eventually([&] { return nodes[1]->mesh.peersWithHeartbeat() == 2 && nodes[2]->mesh.peersWithHeartbeat() == 2; }, waitMs));
}
