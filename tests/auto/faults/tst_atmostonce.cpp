#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <standins/fleet.h>
#include <standins/oracle.h>
#include <standins/tcprelay.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <csignal>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

struct AtMostOnceFixture {
    AtMostOnceFixture()
        : fleet(FleetPlan{})
    {
        std::signal(SIGPIPE, SIG_IGN);
        const std::uint64_t generation = fleet.publish(fleet.objects());
        fleet.startVms();
        REQUIRE(fleet.awaitReady(generation));
    }

    CallerRecord send(const std::string &method, const std::string &id, const std::string &fault)
    {
        CallerClient client(fleet.entries()[0], 20'000);
        return client.call({id, method, "orders.test", "/orders", method == "POST" ? std::size_t{100} : 0, false, {{"X-Fault", fault}}});
    }

    LoadPlan load(int milliseconds) const
    {
        LoadPlan plan = fleet.load(milliseconds, 12);
        plan.pauseMs = 2;
        plan.postPercent = 50;
        return plan;
    }

    Fleet fleet;
};

} // namespace

TEST_CASE_FIXTURE(AtMostOnceFixture, "order_upstreamResetsAfterRunning_isUnknownAndRanOnce")
{
    const CallerRecord record = send("POST", "order-1", "reset-after-run");
    CHECK(record.result == CallerResult::OutcomeUnknown);
    CHECK(record.status == 502);
    CHECK(fleet.runCountsById()["order-1"] == 1);
}

TEST_CASE_FIXTURE(AtMostOnceFixture, "order_upstreamResetsBeforeRunning_isUnknown")
{
    // Nothing proves to the entry VM that the request did not run.
    const CallerRecord record = send("POST", "order-2", "reset-before-answer");
    CHECK(record.result == CallerResult::OutcomeUnknown);
    CHECK(fleet.runCountsById()["order-2"] == 0);
}

TEST_CASE_FIXTURE(AtMostOnceFixture, "order_upstreamShedsEverywhere_isNotRun")
{
    const CallerRecord record = send("POST", "order-3", "shed");
    CHECK(record.result == CallerResult::NotExecuted);
    CHECK(record.status == 503);
    CHECK(fleet.runCountsById()["order-3"] == 0);
}

TEST_CASE_FIXTURE(AtMostOnceFixture, "read_upstreamResets_isRetriedWithinItsBudget")
{
    // The retry budget is ten percent of first attempts.
    for (int i = 0; i < 20; ++i) {
        CHECK(send("GET", "warm-" + std::to_string(i), "").result == CallerResult::Answered);
    }
    const CallerRecord record = send("GET", "read-1", "reset-after-run");
    CHECK(record.result == CallerResult::OutcomeUnknown);
    const int runs = fleet.runCountsById()["read-1"];
    CHECK(runs >= 2);
    CHECK(runs <= 3);
}

TEST_CASE_FIXTURE(AtMostOnceFixture, "answer_cutByTheUpstream_reachesTheCallerAsCut")
{
    for (const std::string fault : {"cut-body", "cut-chunked"}) {
        // Reads raw bytes, since HTTP libraries differ in which endings of a body they accept.
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", fleet.entries()[0].port));
        socket.setReceiveTimeout(Poco::Timespan(20, 0));
        const std::string request = "GET /x HTTP/1.1\r\nHost: orders.test\r\nX-Answer-Bytes: 300000\r\nX-Fault: " + fault + "\r\n\r\n";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        std::string answer;
        std::array<char, 65'536> buffer;
        int count = 0;
        while ((count = socket.receiveBytes(buffer.data(), buffer.size())) > 0) {
            answer.append(buffer.data(), static_cast<std::size_t>(count));
        }
        CHECK(answer.starts_with("HTTP/1.1 200"));
        const std::size_t body = answer.size() - answer.find("\r\n\r\n") - 4;
        CHECK(body < 300'000);
        CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    }
}

TEST_CASE_FIXTURE(AtMostOnceFixture, "orders_underKillsOfVmsAndServersRestarting_runAtMostOnce")
{
    std::vector<CallerRecord> records;
    std::thread callers([&] { records = runLoad(load(9'000)); });
    for (int round = 0; round < 4; ++round) {
        sleepMs(1'500);
        fleet.vms()[round % 3].process->kill();
        sleepMs(200);
        fleet.startVm(round % 3);
    }
    callers.join();
    const OracleFindings findings = compareRecords(records, fleet.runCountsById());
    INFO(describe(findings));
    CHECK(findings.clean());
    CHECK(countResults(records)["answered"] > 500);
}

TEST_CASE_FIXTURE(AtMostOnceFixture, "orders_underPausedVms_runAtMostOnce")
{
    std::vector<CallerRecord> records;
    std::thread callers([&] { records = runLoad(load(10'000)); });
    for (int round = 0; round < 3; ++round) {
        sleepMs(800);
        fleet.vms()[round % 3].process->signal(SIGSTOP);
        sleepMs(1'500);
        fleet.vms()[round % 3].process->signal(SIGCONT);
    }
    callers.join();
    const OracleFindings findings = compareRecords(records, fleet.runCountsById());
    INFO(describe(findings));
    CHECK(findings.clean());
    CHECK(countResults(records)["answered"] > 500);
}

TEST_CASE_FIXTURE(AtMostOnceFixture, "orders_throughAPathThatIsCutAgainAndAgain_runAtMostOnce")
{
    std::vector<std::unique_ptr<TcpRelay>> relays;
    for (std::size_t i = 0; i < fleet.upstreams().size(); ++i) {
        relays.push_back(std::make_unique<TcpRelay>(fleet.upstreams()[i]->port()));
        fleet.setUpstreamPort(i, relays.back()->port());
    }
    fleet.publishVmList();
    sleepMs(4'000);
    std::vector<CallerRecord> records;
    std::thread callers([&] { records = runLoad(load(9'000)); });
    for (int round = 0; round < 12; ++round) {
        sleepMs(500);
        relays[static_cast<std::size_t>(round) % relays.size()]->setMode(round % 2 == 0 ? RelayMode::Disconnect : RelayMode::BlackholeExisting);
        sleepMs(150);
        relays[static_cast<std::size_t>(round) % relays.size()]->setMode(RelayMode::Forward);
    }
    callers.join();
    const OracleFindings findings = compareRecords(records, fleet.runCountsById());
    INFO(describe(findings));
    CHECK(findings.clean());
    CHECK(countResults(records)["answered"] > 500);
}
