#include "entryfixture.h"

#include <doctest/doctest.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <csignal>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Tests;
using StandIns::ScriptedUpstream;
using Json = nlohmann::json;

namespace {

/// Sends requests with many affinity keys and returns how many of them the first upstream received.
std::size_t newRequestsOfFirst(EntryFixture &fixture)
{
    const std::size_t before = fixture.first.received().size();
    for (int i = 0; i < 40; ++i) {
        CHECK(fixture.send("GET", "/safe/x", "", "X-Affinity-Key: " + std::to_string(i) + "\r\n").status == 200);
    }
    return fixture.first.received().size() - before;
}

} // namespace

TEST_CASE_FIXTURE(EntryFixture, "key_repeated_staysOnItsUpstream")
{
    for (int key = 0; key < 5; ++key) {
        const std::size_t firstBefore = first.received().size();
        const std::size_t secondBefore = second.received().size();
        for (int i = 0; i < 6; ++i) {
            CHECK(send("GET", "/safe/x", "", "X-Affinity-Key: k" + std::to_string(key) + "\r\n").status == 200);
        }
        const std::size_t onFirst = first.received().size() - firstBefore;
        const std::size_t onSecond = second.received().size() - secondBefore;
        CHECK((onFirst == 0 || onSecond == 0));
    }
}

TEST_CASE_FIXTURE(EntryFixture, "upstream_drains_getsNoNewRequests")
{
    CHECK(newRequestsOfFirst(*this) > 0);
    registerUpstreams("draining");
    CHECK(eventually([this] { return newRequestsOfFirst(*this) == 0; }));
}

TEST_CASE_FIXTURE(EntryFixture, "zone_evacuatedAndTakenBack_getsRequestsAgain")
{
    store.put("evacuations", "a", Json::object());
    CHECK(eventually([this] { return newRequestsOfFirst(*this) == 0; }));
    store.remove("evacuations", "a");
    CHECK(eventually([this] { return newRequestsOfFirst(*this) > 0; }));
}

TEST_CASE_FIXTURE(EntryFixture, "store_isUnreachable_requestsAreServed")
{
    store.setFaults({.busy = true});
    for (int i = 0; i < 20; ++i) {
        CHECK(get("/safe/x").status == 200);
    }
    CHECK(readiness() == 200);
    CHECK(lookup().status == 200);
}

TEST_CASE_FIXTURE(EntryFixture, "upstream_deregisteredDuringStoreOutage_getsNoRequestsSoonAfterTheOutage")
{
    // Guards against a fault seen on the platform: 3 s after a store outage of 12 s, a VM still used an upstream that had deregistered
    // 12 s before, since it waited for the upstream's entry to reappear.
    store.setFaults({.busy = true});
    std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
    store.remove("servers", "u-1");
    store.setFaults({});
    std::this_thread::sleep_for(std::chrono::milliseconds(2'600));
    CHECK(newRequestsOfFirst(*this) == 0);
}

TEST_CASE_FIXTURE(EntryFixture, "invalidEntries_inTheRegistry_doNotAffectOthers")
{
    store.put("servers", "alien-1", "bytes");
    store.put("servers", "alien-2", {{"address", "127.0.0.1:1"}, {"info", 7}, {"status", {{"state", "ready"}}}});
    store.put("servers", "alien-3",
        {{"address", "127.0.0.1:1"}, {"info", {{"service", "svc"}, {"version", "v1"}, {"zone", "a"}, {"slots", 4}}},
            {"status", {{"state", "ready"}, {"seq", 1}, {"cold-left-ms", 0}}}});
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    for (int i = 0; i < 40; ++i) {
        CHECK(send("GET", "/safe/x", "", "X-Affinity-Key: " + std::to_string(i) + "\r\n").status == 200);
    }
}

TEST_CASE_FIXTURE(EntryFixture, "vm_registersItself_andIsNamedByLookups")
{
    CHECK(eventually([this] { return store.contains("wasabistair-vms", "vm-1"); }));
    const CallerAnswer answer = lookup();
    CHECK(answer.status == 200);
    CHECK(Json::parse(answer.body)["addresses"] == Json::array({"127.0.0.1:" + std::to_string(callerPort)}));
}

TEST_CASE_FIXTURE(EntryFixture, "vm_isStopped_finishesWhatItHasAndIsNotReady")
{
    script = [](int, const Request &request) { return Answer{.bytes = ScriptedUpstream::completeAnswer(request, 200, "slow"), .delayMs = 900}; };
    CallerAnswer slow;
    const std::size_t before = runs();
    std::thread caller([&] { slow = send("POST", "/once/x", "order"); });
    REQUIRE(eventually([&] { return runs() == before + 1; }));
    vm->signal(SIGTERM);
    CHECK(eventually([this] { return readiness() == 503; }));
    CHECK(lookup().status == 503);
    caller.join();
    CHECK(slow.status == 200);
    CHECK(vm->wait() == 0);
}

TEST_CASE_FIXTURE(EntryFixture, "vm_receivesSighup_keepsServing")
{
    vm->signal(SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(get("/safe/x").status == 200);
}

TEST_CASE_FIXTURE(EntryFixture, "caller_leavesBeforeItsRequestIsRead_requestReachesNoUpstream")
{
    // Guards against work for callers that gave up a VM which was short of processor time: it read their requests late and sent them on.
    constexpr int callers = 20;
    REQUIRE(get("/safe/x").status == 200);
    const std::size_t before = runs();
    vm->signal(SIGSTOP);
    for (int i = 0; i < callers; ++i) {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", callerPort));
        const std::string text = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: left-" + std::to_string(i) + "\r\nX-Deadline-Ms: 60000\r\n\r\n";
        socket.sendBytes(text.data(), static_cast<int>(text.size()));
        socket.close();
    }
    vm->signal(SIGCONT);
    // A request of a caller that stays is served, so the VM has read those before it.
    CHECK(get("/safe/x").status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(runs() == before + 1);
}
