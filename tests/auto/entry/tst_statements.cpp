#include "entryfixture.h"

#include <doctest/doctest.h>

#include <standins/platformobjects.h>
#include <upstreams/upstreamcall.h>

#include <Poco/Net/ServerSocket.h>

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Tests;
using StandIns::ScriptedUpstream;

namespace {

using Clock = std::chrono::steady_clock;

/// Longest time until the VM has read a changed registration.
constexpr std::chrono::milliseconds registryDelay{1'500};
constexpr int callers = 6;

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

/// Both upstreams are in one region, since the traffic that may move to another region at once is limited. The first one answers with
/// firstAnswer() once it is set; arrivals at it are recorded.
struct StatementFixture: EntryFixture {
    StatementFixture()
    {
        store.put("servers", "u-2", StandIns::upstreamObject(second.port(), "a", "ready"));
        std::this_thread::sleep_for(registryDelay);
        script = [this](int index, const Request &request) {
            const std::lock_guard lock(mutex);
            if (index != 0) {
                return Answer{ScriptedUpstream::completeAnswer(request, 200, "ok")};
            }
            arrivals.push_back(nowMs());
            return firstAnswer ? firstAnswer(request) : Answer{ScriptedUpstream::completeAnswer(request, 200, "ok")};
        };
    }

    /// The first upstream answers with @p status and the header @p lines from now on.
    void state(int status, const std::string &lines)
    {
        const std::lock_guard lock(mutex);
        firstAnswer = [=](const Request &request) { return Answer{ScriptedUpstream::completeAnswer(request, status, "stated", lines)}; };
    }

    void answerWith(std::function<Answer(const Request &)> answer)
    {
        const std::lock_guard lock(mutex);
        firstAnswer = std::move(answer);
    }

    /// Sends requests with many different keys from several callers at once for @p durationMs; counts the statuses.
    void load(std::int64_t durationMs, const std::string &method = "GET", const std::string &path = "/safe/x")
    {
        const std::int64_t end = nowMs() + durationMs;
        std::vector<std::thread> threads;
        for (int caller = 0; caller < callers; ++caller) {
            threads.emplace_back([&, caller] {
                for (int i = 0; nowMs() < end; ++i) {
                    const std::string key = std::to_string(caller) + "-" + std::to_string(i);
                    const std::int64_t begin = nowMs();
                    const CallerAnswer answer = send(method, path, method == "GET" ? "" : "order", "X-Affinity-Key: " + key + "\r\n");
                    count(answer, nowMs() - begin);
                    std::this_thread::sleep_for(std::chrono::milliseconds(10));
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

    void count(const CallerAnswer &answer, std::int64_t tookMs)
    {
        const std::lock_guard lock(mutex);
        if (answer.status == 200) {
            ++served;
        } else if (answer.status == 503) {
            ++rejected;
            longestRejectionMs = std::max(longestRejectionMs, tookMs);
            const std::string retryAfter = Request{answer.head, ""}.header("Retry-After");
            shortestRetryAfter = std::min(shortestRetryAfter, retryAfter.empty() ? 0 : std::stod(retryAfter));
        } else {
            ++others;
        }
    }

    void resetCounts()
    {
        const std::lock_guard lock(mutex);
        served = 0;
        rejected = 0;
        others = 0;
        longestRejectionMs = 0;
        shortestRetryAfter = 1e9;
    }

    [[nodiscard]] std::size_t arrivalsBetween(std::int64_t from, std::int64_t until) const
    {
        const std::lock_guard lock(mutex);
        return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(), [&](std::int64_t at) { return at >= from && at < until; }));
    }

    [[nodiscard]] std::size_t arrivalsDuringLoad(std::int64_t durationMs)
    {
        const std::int64_t from = nowMs();
        load(durationMs);
        return arrivalsBetween(from, nowMs());
    }

    mutable std::mutex mutex;
    std::function<Answer(const Request &)> firstAnswer;
    std::vector<std::int64_t> arrivals;
    int served = 0;
    int rejected = 0;
    int others = 0;
    std::int64_t longestRejectionMs = 0;
    double shortestRetryAfter = 1e9;
};

/// A call to an upstream, for a caller that stays connected.
struct CallFixture {
    CallFixture()
        : upstream([](const StandIns::ReceivedRequest &request) { return StandIns::ScriptedAnswer{ScriptedUpstream::completeAnswer(request, 200, "ok")}; })
        , listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , caller(Poco::Net::StreamSocket(listener.address()), clock)
    {
        head.set("X-Request-Id", id);
        entry.id = "u-1";
        entry.host = "127.0.0.1";
        entry.port = upstream.port();
    }

    [[nodiscard]] Upstreams::CallResult call(const std::function<bool()> &maySend)
    {
        Upstreams::UpstreamCall call(idle, memory, clock);
        return call.run(entry, {head, body, id, true, maySend}, caller, clock.monotonic() + 5'000);
    }

    Base::SystemClock clock;
    ScriptedUpstream upstream;
    Poco::Net::ServerSocket listener;
    Http::ByteStream caller;
    Upstreams::IdleConnectionPool idle{clock};
    Base::MemoryBudget memory{1 << 20};
    Steering::UpstreamEntry entry;
    std::string id = "request-1";
    std::string body;
    Poco::Net::HTTPRequest head{"GET", "/x", "HTTP/1.1"};
};

} // namespace

TEST_CASE_FIXTURE(CallFixture, "call_pauseIsAskedForWhileItConnects_sendsNothing")
{
    // Guards against a request that was selected just before its upstream asked for a pause and arrives in the middle of it.
    CHECK((call([] { return false; }).end == Upstreams::CallOutcome::Withdrawn));
    REQUIRE((call([] { return true; }).end == Upstreams::CallOutcome::Answered));
    // Over the connection that is idle now, too.
    CHECK((call([] { return false; }).end == Upstreams::CallOutcome::Withdrawn));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK(upstream.received().size() == 1);
}

TEST_CASE_FIXTURE(StatementFixture, "upstreamLeaving_isStatedInAnAnswer_getsNoFurtherRequestsWhateverTheStoreSays")
{
    // Guards against requests at an upstream that said in an answer that it leaves, from a VM that hears of it from the store late or never.
    const std::string line = "Server-Leaving: 1\r\n";
    SUBCASE("success")
    {
        state(200, line);
    }
    SUBCASE("failure")
    {
        state(500, line);
    }
    SUBCASE("rejection")
    {
        state(503, "X-Not-Executed: 1\r\n" + line);
    }
    SUBCASE("interim answer")
    {
        answerWith(
            [line](const Request &request) { return Answer{"HTTP/1.1 103 Early\r\n" + line + "\r\n" + ScriptedUpstream::completeAnswer(request, 200, "ok")}; });
    }
    SUBCASE("body that breaks off")
    {
        answerWith([line](const Request &request) {
            const std::string whole = ScriptedUpstream::completeAnswer(request, 200, "a body that breaks off", line);
            return Answer{.bytes = whole.substr(0, whole.size() - 5), .closeAfter = true};
        });
    }
    load(700);
    REQUIRE(arrivalsBetween(0, nowMs()) > 0);
    CHECK(arrivalsDuringLoad(700) == 0);
    // The store says again that the upstream is ready, and then nothing at all.
    store.remove("servers", "u-1");
    std::this_thread::sleep_for(registryDelay);
    store.put("servers", "u-1", StandIns::upstreamObject(first.port(), "a", "ready"));
    std::this_thread::sleep_for(registryDelay);
    CHECK(arrivalsDuringLoad(500) == 0);
    store.compactHistory();
    store.setFaults({.busy = true});
    CHECK(arrivalsDuringLoad(500) == 0);
    CHECK(rejected == 0);
}

TEST_CASE_FIXTURE(StatementFixture, "upstreamLeaving_anotherProcessStartsUnderTheSameId_isUsed")
{
    state(200, "Server-Leaving: 1\r\n");
    load(500);
    CHECK(arrivalsDuringLoad(300) == 0);
    state(200, "");
    auto object = StandIns::upstreamObject(first.port(), "a", "ready");
    object["born"] = object["born"].get<std::int64_t>() + 1;
    store.put("servers", "u-1", object);
    CHECK(eventually([this] { return arrivalsDuringLoad(200) > 0; }));
    CHECK(others + rejected == 0);
}

TEST_CASE_FIXTURE(StatementFixture, "upstreamLeaving_vmRestarts_itsFirstAnswersTellItAgain")
{
    state(200, "Server-Leaving: 1\r\n");
    load(500);
    killAndRestartVm();
    load(500);
    CHECK(arrivalsDuringLoad(500) == 0);
}

TEST_CASE_FIXTURE(StatementFixture, "upstreamPause_isRequested_nothingArrivesBeforeItsEnd")
{
    // Guards against requests at an upstream that turned one away and asked for a pause.
    constexpr std::int64_t pauseMs = 2'000;
    constexpr std::int64_t graceMs = 500;
    SUBCASE("rejected before execution")
    {
        state(503, "X-Not-Executed: 1\r\nRetry-After: 2\r\n");
    }
    SUBCASE("without the statement that it did not run")
    {
        state(503, "Retry-After: 2\r\n");
    }
    SUBCASE("body that breaks off")
    {
        answerWith([](const Request &request) {
            const std::string whole = ScriptedUpstream::completeAnswer(request, 503, "a body that breaks off", "Retry-After: 2\r\n");
            return Answer{.bytes = whole.substr(0, whole.size() - 5), .closeAfter = true};
        });
    }
    const std::int64_t from = nowMs();
    load(1'900);
    REQUIRE(arrivalsBetween(from, nowMs()) > 0);
    const std::int64_t first = arrivals.front() >= from ? arrivals.front() : *std::lower_bound(arrivals.begin(), arrivals.end(), from);
    state(200, "");
    load(first + pauseMs - nowMs());
    CHECK(arrivalsBetween(first + graceMs, first + pauseMs) == 0);
    CHECK(eventually([this] { return arrivalsDuringLoad(200) > 0; }));
    CHECK(rejected == 0);
}

TEST_CASE_FIXTURE(StatementFixture, "upstreamPause_orders_goToTheOtherUpstreamAndRunOnce")
{
    state(503, "X-Not-Executed: 1\r\nRetry-After: 1\r\n");
    load(1'500, "POST", "/once/x");
    CHECK(served > 50);
    CHECK(others + rejected == 0);
}

TEST_CASE_FIXTURE(StatementFixture, "upstreamPause_allUpstreamsPause_callersAreRejectedAtOnceUntilItsEnd")
{
    script = [](int, const Request &request) { return Answer{ScriptedUpstream::completeAnswer(request, 503, "", "X-Not-Executed: 1\r\nRetry-After: 5\r\n")}; };
    load(300);
    resetCounts();
    const std::size_t before = runs();
    load(1'500);
    CHECK(runs() == before);
    CHECK(rejected > 50);
    CHECK(served + others == 0);
    CHECK(shortestRetryAfter > 2.5);
    CHECK(longestRejectionMs < 200);
}

TEST_CASE_FIXTURE(StatementFixture, "upstreamStatement_isUnreadableOrInTheWrongPlace_upstreamIsUsedAsBefore")
{
    for (const char *lines : {"Server-Leaving: 0\r\n", "Server-Leaving: \r\n", "Server-Leaving: yes\r\n", "Retry-After: 3\r\n"}) {
        CAPTURE(lines);
        state(200, lines);
        load(200);
        CHECK(arrivalsDuringLoad(300) > 3);
    }
    for (const char *value : {"", "-1", "nan", "soon", "Sat, 05 Dec 2026 08:00:00 GMT"}) {
        CAPTURE(value);
        state(503, std::string("X-Not-Executed: 1\r\nX-Server-Load: 9,9,4\r\nRetry-After: ") + value + "\r\n");
        load(200);
        CHECK(arrivalsDuringLoad(500) > 0);
    }
    CHECK(others == 0);
    CHECK(readiness() == 200);
}
