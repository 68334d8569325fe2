#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <standins/fleet.h>
#include <standins/oracle.h>
#include <standins/tcprelay.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

struct ConnectionsFixture {
    ConnectionsFixture()
        : fleet(FleetPlan{})
    {
        std::signal(SIGPIPE, SIG_IGN);
        objects = fleet.objects();
        objects.services[0].progressTimeoutMs = 1'000;
    }

    void start()
    {
        const std::uint64_t generation = fleet.publish(objects);
        fleet.startVms();
        REQUIRE(fleet.awaitReady(generation));
    }

    Fleet fleet;
    Steering::ObjectSet objects;
};

/// Sends the head of an 8 MB upload and the first @p sent bytes of its body, then nothing more.
Poco::Net::StreamSocket stalledUpload(const Base::HostPort &entry, const std::string &id, std::size_t sent)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress(entry.host, entry.port));
    const std::string head
        = "PUT /drawings/1 HTTP/1.1\r\nHost: orders.test\r\nX-Request-Id: " + id + "\r\nX-Body-Bytes: 8000000\r\nContent-Length: 8000000\r\n\r\n";
    socket.sendBytes(head.data(), static_cast<int>(head.size()));
    const std::string body(sent, 'u');
    std::size_t done = 0;
    while (done < body.size()) {
        done += static_cast<std::size_t>(socket.sendBytes(body.data() + done, static_cast<int>(body.size() - done)));
    }
    return socket;
}

std::string readSome(Poco::Net::StreamSocket &socket)
{
    std::string text(2'048, '\0');
    socket.setReceiveTimeout(Poco::Timespan(20, 0));
    text.resize(static_cast<std::size_t>(std::max(0, socket.receiveBytes(text.data(), static_cast<int>(text.size())))));
    return text;
}

} // namespace

TEST_CASE_FIXTURE(ConnectionsFixture, "read_idleConnectionsWentSilent_isAnsweredOverANewOne")
{
    std::vector<std::unique_ptr<TcpRelay>> relays;
    for (std::size_t i = 0; i < fleet.upstreams().size(); ++i) {
        relays.push_back(std::make_unique<TcpRelay>(fleet.upstreams()[i]->port()));
        fleet.setUpstreamPort(i, relays.back()->port());
    }
    fleet.publishVmList();
    start();
    CallerClient client(fleet.entries()[0], 20'000);
    for (int i = 0; i < 40; ++i) {
        CHECK(client.call({"warm-" + std::to_string(i), "GET", "orders.test", "/x", 0, false, {}}).result == CallerResult::Answered);
    }
    for (const auto &relay : relays) {
        relay->setMode(RelayMode::BlackholeExisting);
    }
    // Old connections pass no more bytes while new ones work, as when a NAT or firewall on the path drops its connection state.
    int answered = 0;
    for (int i = 0; i < 12; ++i) {
        answered += client.call({"after-" + std::to_string(i), "GET", "orders.test", "/x", 0, false, {}}).result == CallerResult::Answered ? 1 : 0;
    }
    CHECK(answered == 12);
    // A POST request is never sent on one of these old connections.
    CHECK(client.call({"order", "POST", "orders.test", "/x", 50, false, {}}).result == CallerResult::Answered);
}

TEST_CASE_FIXTURE(ConnectionsFixture, "read_callerDisconnects_cancelsAtTheUpstream")
{
    start();
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", fleet.entries()[0].port));
        const std::string request = "GET /x HTTP/1.1\r\nHost: orders.test\r\nX-Request-Id: gone\r\nX-Service-Ms: 8000\r\n\r\n";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        REQUIRE(eventually([&] { return fleet.runCountsById()["gone"] == 1; }, 10'000));
    }
    CHECK(eventually(
        [&] {
            std::uint64_t cancelled = 0;
            for (const auto &upstream : fleet.upstreams()) {
                cancelled += upstream->statistics().cancelled;
            }
            return cancelled == 1;
        },
        5'000));
}

TEST_CASE_FIXTURE(ConnectionsFixture, "caller_leavesBeforeItsRequestIsRead_requestReachesNoUpstream")
{
    // Guards against work for callers that gave up a VM which was short of processor time: it read their requests late and sent them on.
    constexpr int callers = 20;
    start();
    ChildProcess &vm = *fleet.vms()[0].process;
    CallerClient client(fleet.entries()[0], 20'000);
    REQUIRE(client.call({"before", "GET", "orders.test", "/x", 0, false, {}}).result == CallerResult::Answered);
    vm.signal(SIGSTOP);
    for (int i = 0; i < callers; ++i) {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", fleet.entries()[0].port));
        const std::string request = "GET /x HTTP/1.1\r\nHost: orders.test\r\nX-Request-Id: left-" + std::to_string(i) + "\r\n\r\n";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        socket.close();
    }
    vm.signal(SIGCONT);
    CHECK(client.call({"after", "GET", "orders.test", "/x", 0, false, {}}).result == CallerResult::Answered);
    sleepMs(500);
    const auto runs = fleet.runCountsById();
    CHECK(std::count_if(runs.begin(), runs.end(), [](const auto &run) { return run.first.starts_with("left-"); }) == 0);
}

TEST_CASE_FIXTURE(ConnectionsFixture, "request_deadlineOfTheCaller_isKept")
{
    start();
    CallerClient client(fleet.entries()[0], 20'000);
    const CallerRecord record = client.call({"late", "POST", "orders.test", "/x", 10, false, {{"X-Service-Ms", "5000"}, {"Wasabistair-Deadline-Ms", "300"}}});
    CHECK(record.result == CallerResult::OutcomeUnknown);
    CHECK(record.status == 504);
    CHECK(record.latencyUs < 4'000'000);
}

TEST_CASE_FIXTURE(ConnectionsFixture, "lateAnswer_ofAnAbandonedRequest_isNotGivenToAnotherRequest")
{
    start();
    std::vector<CallerRecord> records;
    LoadPlan plan;
    plan.entries = {fleet.entries()[0]};
    plan.host = "orders.test";
    plan.callers = 8;
    plan.durationMs = 4'000;
    plan.pauseMs = 1;
    // Every answer arrives close to the deadline at which its request is abandoned.
    plan.headers = {{"X-Service-Ms", "40"}, {"Wasabistair-Deadline-Ms", "42"}};
    records = runLoad(plan);
    const OracleFindings findings = compareRecords(records, fleet.runCountsById());
    INFO(describe(findings));
    CHECK(findings.clean());
    CHECK(records.size() > 200);
}

TEST_CASE_FIXTURE(ConnectionsFixture, "uploads_stalledByTheHundred_areEndedAndLeaveSlotsAndMemoryFree")
{
    start();
    std::vector<Poco::Net::StreamSocket> stalled;
    for (int i = 0; i < 200; ++i) {
        stalled.push_back(stalledUpload(fleet.entries()[0], "stalled-" + std::to_string(i), i % 2 == 0 ? 1'000 : 700'000));
    }
    // Other requests are answered without delay meanwhile.
    CallerClient client(fleet.entries()[0], 20'000);
    int answered = 0;
    for (int i = 0; i < 20; ++i) {
        answered += client.call({"read-" + std::to_string(i), "GET", "orders.test", "/x", 0, false, {}}).result == CallerResult::Answered ? 1 : 0;
    }
    CHECK(answered == 20);
    CHECK(fleet.vms()[0].process->residentBytes() < std::size_t{256} * 1024 * 1024);
    int ended = 0;
    for (auto &socket : stalled) {
        const std::string answer = readSome(socket);
        ended += answer.starts_with("HTTP/1.1 408") && answer.find("Wasabistair-Run: not-run") != std::string::npos ? 1 : 0;
    }
    CHECK(ended == 200);
    CHECK(fleet.runCountsById()["stalled-1"] == 0);
}

TEST_CASE_FIXTURE(ConnectionsFixture, "upload_slowButSteady_isNotEndedAndRunsOnce")
{
    start();
    Poco::Net::StreamSocket socket = stalledUpload(fleet.entries()[0], "slow", 1'000);
    const std::string piece(7'999'000 / 10, 's');
    for (int i = 0; i < 10; ++i) {
        sleepMs(400);
        std::size_t done = 0;
        while (done < piece.size()) {
            done += static_cast<std::size_t>(socket.sendBytes(piece.data() + done, static_cast<int>(piece.size() - done)));
        }
    }
    const std::string answer = readSome(socket);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(fleet.runCountsById()["slow"] == 1);
}
