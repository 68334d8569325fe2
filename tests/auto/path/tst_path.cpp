#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <standins/fleet.h>
#include <standins/ports.h>

#include <nlohmann/json.hpp>

#include <csignal>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

/// Three entry VMs, one per region, in front of two servers per region.
struct PathFixture {
    PathFixture()
        : fleet(FleetPlan{})
    {
        std::signal(SIGPIPE, SIG_IGN);
        generation = fleet.publish(fleet.objects());
        fleet.startVms();
    }

    Fleet fleet;
    std::uint64_t generation = 0;
};

} // namespace

TEST_CASE_FIXTURE(PathFixture, "path_requestOfEachKind_isAnsweredWhole")
{
    REQUIRE(generation == 1);
    REQUIRE(fleet.awaitReady(generation));
    for (const Base::HostPort &entry : fleet.entries()) {
        CallerClient client(entry, 10'000);
        const CallerRecord read = client.call({"read", "GET", "orders.test", "/orders/1", 0, false, {}});
        CHECK(read.result == CallerResult::Answered);
        CHECK(read.status == 200);
        const CallerRecord order = client.call({"order", "POST", "orders.test", "/orders", 300, false, {}});
        CHECK(order.result == CallerResult::Answered);
        const CallerRecord upload = client.call({"upload", "PUT", "orders.test", "/drawings/1", 3'000'000, false, {}});
        CHECK(upload.result == CallerResult::Answered);
        const CallerRecord chunked = client.call({"chunked", "POST", "orders.test", "/drawings", 200'000, true, {}});
        CHECK(chunked.result == CallerResult::Answered);
        const CallerRecord large = client.call({"large", "GET", "orders.test", "/photo", 0, false, {{"X-Answer-Bytes", "5000000"}}});
        CHECK(large.result == CallerResult::Answered);
        CHECK(large.body.size() == 5'000'000);
        const CallerRecord streamed = client.call({"streamed", "GET", "orders.test", "/photo", 0, false, {{"X-Answer-Bytes", "70000"}, {"X-Chunked", "1"}}});
        CHECK(streamed.result == CallerResult::Answered);
        CHECK(streamed.body.size() == 70'000);
        const CallerRecord head = client.call({"head", "HEAD", "orders.test", "/orders/1", 0, false, {}});
        CHECK(head.status == 200);
        CHECK(head.body.empty());
    }
}

TEST_CASE_FIXTURE(PathFixture, "path_controlPathsAfterRequests_areAnsweredAndTheProcessLives")
{
    REQUIRE(fleet.awaitReady(generation));
    CallerClient client(fleet.entries()[0], 10'000);
    for (int i = 0; i < 3; ++i) {
        CHECK(client.call({"read" + std::to_string(i), "GET", "orders.test", "/orders/1", 0, false, {}}).result == CallerResult::Answered);
    }
    for (const char *path : {"/metrics", "/v1/status", "/v1/timeline", "/healthz", "/readyz", "/metrics"}) {
        INFO(path);
        const CallerRecord answer = client.call({"control", "GET", "any.test", path, 0, false, {}});
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.body.empty());
    }
    const std::string metrics = client.call({"metrics", "GET", "any.test", "/metrics", 0, false, {}}).body;
    CHECK(metrics.find("wasabistair_requests_total{outcome=\"answered\",place=\"order-ledger-leinster\",service=\"order-ledger\"} 3") != std::string::npos);
    CHECK(fleet.vms()[0].process->isRunning());
}

TEST_CASE_FIXTURE(PathFixture, "path_lookup_namesReadyVmsNearestFirst")
{
    REQUIRE(fleet.awaitReady(generation));
    CallerClient client(fleet.entries()[1], 10'000);
    nlohmann::json answer;
    // The other VMs report their readiness with their next heartbeat.
    REQUIRE(eventually(
        [&] {
            const CallerRecord record = client.call({"lookup", "GET", "any.test", "/v1/lookup?service=order-ledger", 0, false, {}});
            answer = nlohmann::json::parse(record.body);
            return record.status == 200 && answer["entryVms"].size() == 3;
        },
        30'000));
    CHECK(answer["generation"] == generation);
    CHECK(answer["site"] == "leinster");
    CHECK(answer["entryVms"][0]["zone"] == "leinster-a");
    CHECK(answer["places"][0] == "order-ledger-leinster");
}

TEST_CASE_FIXTURE(PathFixture, "path_sigterm_drainsAndEndsWithZero")
{
    REQUIRE(fleet.awaitReady(generation));
    fleet.vms()[0].process->signal(SIGTERM);
    CHECK(fleet.vms()[0].process->waitFor(20'000) == 0);
}

TEST_CASE_FIXTURE(PathFixture, "path_callerPortTaken_endsWithThreeAndTheOtherServesOn")
{
    REQUIRE(fleet.awaitReady(generation));
    const Steering::Vm &vm = fleet.vms()[0].vm;
    ChildProcess second("wasabistaird",
        {"--vm=second", "--region=" + vm.region, "--zone=" + vm.zone, "--caller-address=127.0.0.1:" + std::to_string(vm.port),
            "--node-address=127.0.0.1:" + std::to_string(freePort()), "--platform=127.0.0.1:" + std::to_string(fleet.platform().port())});
    CHECK(second.waitFor(20'000) == 3);
    CHECK(fleet.status(0).value("vm", "") == vm.id);
}
