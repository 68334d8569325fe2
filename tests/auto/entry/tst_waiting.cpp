#include "entryfixture.h"

#include <standins/platformobjects.h>

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Tests;
using Json = nlohmann::json;

namespace {

// Time in which a change in the store is known to the VM.
constexpr auto changeIsKnown = std::chrono::milliseconds(1'000);
constexpr int noUpstream = -1;

/// Upstreams that hold requests until the test releases them, and a route with much time.
struct WaitingFixture: EntryFixture {
    WaitingFixture()
    {
        script = [this](int upstream, const Request &request) { return answer(upstream, request); };
    }

    /// Puts the route and @p teams into force, then holds requests.
    void hold(const Json &teams, int expectedStatus)
    {
        Json manifest = StandIns::manifestObject(2, {{"wait", StandIns::routeObject("/wait/", "safe", 6'000, 2)}});
        if (!teams.empty()) {
            manifest["tenants"] = teams;
        }
        store.put("config", "main", manifest);
        REQUIRE(eventually([&] { return get("/wait/x").status == expectedStatus; }));
        const std::lock_guard lock(mutex);
        arrived = {};
        released = {};
        firstReached = noUpstream;
    }

    ~WaitingFixture()
    {
        release();
    }

    Answer answer(int upstream, const Request &request)
    {
        std::unique_lock lock(mutex);
        arrived[static_cast<std::size_t>(upstream)] += 1;
        firstReached = firstReached == noUpstream ? upstream : firstReached;
        changed.wait(lock, [&] { return released[static_cast<std::size_t>(upstream)]; });
        if (rejects) {
            return Answer{"HTTP/1.1 503 Busy\r\nX-Request-Id: " + request.header("X-Request-Id") + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"};
        }
        return Answer{StandIns::ScriptedUpstream::completeAnswer(request, 200, "body")};
    }

    void release(int upstream)
    {
        const std::lock_guard lock(mutex);
        released[static_cast<std::size_t>(upstream)] = true;
        changed.notify_all();
    }

    void release()
    {
        release(0);
        release(1);
    }

    int arrivedAt(int upstream)
    {
        const std::lock_guard lock(mutex);
        return arrived[static_cast<std::size_t>(upstream)];
    }

    int reachedFirst()
    {
        const std::lock_guard lock(mutex);
        return firstReached;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::array<int, 2> arrived{};
    std::array<bool, 2> released{true, true};
    int firstReached = noUpstream;
    /// Whether released requests are rejected as not run.
    bool rejects = false;
};

/// Sends one request that the upstream that it reaches rejects after the other one has become unusable by @p closeOther; returns its status.
int statusAfterRejection(WaitingFixture &fixture, const std::function<void(int)> &closeOther)
{
    fixture.hold(Json::object(), 200);
    fixture.rejects = true;
    int status = 0;
    std::thread caller([&] { status = fixture.get("/wait/x").status; });
    CHECK(EntryFixture::eventually([&] { return fixture.reachedFirst() != noUpstream; }));
    const int other = 1 - fixture.reachedFirst();
    closeOther(other);
    std::this_thread::sleep_for(changeIsKnown);
    fixture.release();
    caller.join();
    CHECK(fixture.arrivedAt(other) == 0);
    return status;
}

} // namespace

TEST_CASE_FIXTURE(WaitingFixture, "retry_otherUpstreamDrainsMeanwhile_isNotSentThere")
{
    // Guards against a request that is sent by a routing snapshot from before its first attempt.
    const int status = statusAfterRejection(*this, [this](int other) {
        store.put(
            "servers", other == 0 ? "u-1" : "u-2", StandIns::upstreamObject(other == 0 ? first.port() : second.port(), other == 0 ? "a" : "b", "draining"));
    });
    CHECK(status == 503);
}

TEST_CASE_FIXTURE(WaitingFixture, "retry_otherUpstreamsZoneIsEvacuatedMeanwhile_isNotSentThere")
{
    const int status = statusAfterRejection(*this, [this](int other) { store.put("evacuations", other == 0 ? "a" : "b", Json::object()); });
    CHECK(status == 503);
}

TEST_CASE_FIXTURE(WaitingFixture, "retry_otherUpstreamDeregistersMeanwhile_isNotSentThere")
{
    const int status = statusAfterRejection(*this, [this](int other) { store.remove("servers", other == 0 ? "u-1" : "u-2"); });
    CHECK(status == 503);
}

TEST_CASE_FIXTURE(WaitingFixture, "waitForRoom_upstreamDrainsMeanwhile_isNotSentThere")
{
    // Guards against requests in a queue that prefer an upstream that drains, since it is free soon.
    constexpr int callers = 60;
    constexpr int drained = 1;
    hold({{"alpha", {{"api-keys", {"key"}}}}}, 401);
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([this] { static_cast<void>(send("GET", "/wait/x", "", "Authorization: Bearer key\r\n")); });
    }
    std::this_thread::sleep_for(changeIsKnown / 2);
    const int atDrained = arrivedAt(drained);
    const int atBoth = arrivedAt(0) + atDrained;
    store.put("servers", "u-2", StandIns::upstreamObject(second.port(), "b", "draining"));
    std::this_thread::sleep_for(changeIsKnown);
    release(drained);
    std::this_thread::sleep_for(changeIsKnown);
    CHECK(atDrained > 0);
    CHECK(atBoth < callers);
    CHECK(arrivedAt(drained) == atDrained);
    release();
    for (std::thread &thread : threads) {
        thread.join();
    }
}
