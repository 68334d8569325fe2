#include "entryfixture.h"

#include <standins/platformobjects.h>

#include <doctest/doctest.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>
#include <vector>

using namespace Wasabistair;
using namespace Wasabistair::Tests;
using StandIns::ScriptedUpstream;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int answerDelayMs = 120;
constexpr int callers = 24;
// The VM accepts callers for 4.5 s after SIGTERM. Requests sent shortly before that may arrive after the process has exited.
constexpr int sendUntilMs = 3'900;

/// One request and its result.
struct SentRequest {
    /// When it was sent, in ms relative to the signal.
    std::int64_t atMs = 0;
    /// Status of the answer; 0 when the connection ended without a complete answer.
    int status = 0;
};

/// A caller that reuses its connection, and opens another when the VM closes it.
class PersistentCaller
{
public:
    explicit PersistentCaller(std::uint16_t port)
        : port_(port)
    {}

    /// Sends a request in one or two parts and returns the status of its answer; 0 when the connection ended without a complete
    /// answer.
    int exchange(const std::string &text, std::size_t firstPart)
    {
        try {
            if (!socket_ || !isOpen()) {
                socket_ = std::make_unique<Poco::Net::StreamSocket>(Poco::Net::SocketAddress("127.0.0.1", port_));
                socket_->setReceiveTimeout(Poco::Timespan(10, 0));
            }
            socket_->sendBytes(text.data(), static_cast<int>(firstPart));
            if (firstPart < text.size()) {
                std::this_thread::sleep_for(std::chrono::milliseconds(30));
                socket_->sendBytes(text.data() + firstPart, static_cast<int>(text.size() - firstPart));
            }
            return readStatus();
        } catch (const Poco::Exception &) {
            // The VM has exited or closed this connection. The test fails on that, since it sends only while the VM must answer.
            socket_.reset();
            return 0;
        }
    }

private:
    /// False when the VM has closed the connection while it was idle.
    bool isOpen()
    {
        return !socket_->poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }

    int readStatus()
    {
        std::string received;
        std::array<char, 4096> buffer;
        while (true) {
            const std::size_t end = received.find("\r\n\r\n");
            const std::size_t field = received.find("Content-Length: ");
            if (end != std::string::npos && field < end && received.size() >= end + 4 + std::stoul(received.substr(field + 16))) {
                if (received.find("Connection: close") < end || received.find("Connection: Close") < end) {
                    socket_.reset();
                }
                return std::stoi(received.substr(9, 3));
            }
            const int got = socket_->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (got <= 0) {
                socket_.reset();
                return 0;
            }
            received.append(buffer.data(), static_cast<std::size_t>(got));
        }
    }

    std::uint16_t port_;
    std::unique_ptr<Poco::Net::StreamSocket> socket_;
};

struct StoppingFixture: EntryFixture {
    StoppingFixture()
    {
        script = [](int, const Request &request) { return Answer{.bytes = ScriptedUpstream::completeAnswer(request, 200, "done"), .delayMs = answerDelayMs}; };
    }

    [[nodiscard]] std::int64_t sinceSignalMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - signalAt).count();
    }

    /// Starts the VM again with another grace period.
    void setGracePeriod(int seconds)
    {
        changeSettings("grace-s=6", "grace-s=" + std::to_string(seconds));
        killAndRestartVm();
        REQUIRE(get("/safe/x").status == 200);
    }

    /// Whether an upstream has received the request.
    [[nodiscard]] bool hasRun(const std::string &id) const
    {
        const auto received = [&id](const StandIns::ScriptedUpstream &upstream) {
            const auto requests = upstream.received();
            return std::any_of(requests.begin(), requests.end(), [&id](const Request &request) { return request.header("X-Request-Id") == id; });
        };
        return received(first) || received(second);
    }

    /// Sends one request after the other on a reused connection until shortly before the VM exits.
    std::vector<SentRequest> call(int caller)
    {
        std::vector<SentRequest> result;
        PersistentCaller connection(callerPort);
        for (int i = 0; sinceSignalMs() < sendUntilMs; ++i) {
            const bool order = (caller + i) % 3 == 0;
            const std::string id = "caller-" + std::to_string(caller) + "-" + std::to_string(i);
            std::string text = std::string(order ? "POST /once/x" : "GET /safe/x") + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\n";
            text += order ? "Content-Length: 5\r\n\r\norder" : "\r\n";
            // Some requests are sent in two parts, so that the VM has read only half of them when the signal arrives.
            const std::size_t firstPart = i % 4 == 0 ? text.size() / 2 : text.size();
            const std::int64_t at = sinceSignalMs();
            result.push_back({at, connection.exchange(text, firstPart)});
            // Different pauses spread the requests over all phases of the VM's shutdown.
            std::this_thread::sleep_for(std::chrono::milliseconds((caller * 7 + i * 13) % 60));
        }
        return result;
    }

    Clock::time_point signalAt = Clock::now() + std::chrono::milliseconds(600);
};

} // namespace

TEST_CASE_FIXTURE(StoppingFixture, "vm_isStoppedUnderLoad_everyRequestSentWhileItTakesCallersHasAnAnswer")
{
    std::vector<std::vector<SentRequest>> sent(callers);
    std::vector<std::thread> threads;
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([this, i, &sent] { sent[static_cast<std::size_t>(i)] = call(i); });
    }
    std::this_thread::sleep_until(signalAt);
    vm->signal(SIGTERM);
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::size_t afterSignal = 0;
    for (const std::vector<SentRequest> &requests : sent) {
        for (const SentRequest &request : requests) {
            CAPTURE(request.atMs);
            // Near the end of its grace period the VM rejects requests that it has not started, with 503.
            CHECK((request.status == 200 || request.status == 503));
            afterSignal += request.atMs >= 0 ? 1 : 0;
        }
    }
    CHECK(afterSignal > callers);
    CHECK(vm->wait() == 0);
}

TEST_CASE_FIXTURE(StoppingFixture, "vm_isStopped_requestThatMayNotEndInTimeIsRejectedAndOneThatWasTakenIsAnswered")
{
    // Guards against a request that is taken late in the grace period, although its caller waits for longer than the VM will live, and is
    // broken off when the VM exits.
    constexpr int slowMs = 3'000;
    constexpr int lateMs = 3'150;
    store.put("config", "main",
        StandIns::manifestObject(
            2, {{"once", StandIns::routeObject("/once/", "unsafe", 8'000, 2)}, {"safe", StandIns::routeObject("/safe/", "safe", 8'000, 2)}}));
    REQUIRE(eventually([this] { return get("/safe/x").status == 200; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    script = [](int, const Request &request) { return Answer{.bytes = ScriptedUpstream::completeAnswer(request, 200, "done"), .delayMs = slowMs}; };
    vm->signal(SIGTERM);
    const CallerAnswer early = send("POST", "/once/x", "order", "X-Deadline-Ms: 8000\r\n");
    CHECK(early.status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(lateMs - slowMs));
    const CallerAnswer late = send("POST", "/once/x", "order", "X-Deadline-Ms: 8000\r\n");
    CHECK(late.status == 503);
    CHECK(late.head.find("Retry-After: ") != std::string::npos);
    CHECK(vm->wait() == 0);
}

TEST_CASE_FIXTURE(StoppingFixture, "vm_requestArrivesWhileTheIdleVmExits_isAnsweredOrNeverPassedOn")
{
    // Guards against an order that is taken after the VM has found itself idle: it was passed on, and the process exited before its answer. The
    // grace period is so long that requests aren't rejected yet when the VM becomes idle.
    setGracePeriod(10);
    constexpr int workMs = 200;
    // Shorter than the process takes from its last look at its requests to its exit, and longer than it takes to notice that it is idle.
    constexpr int pauseMs = 30;
    constexpr std::int64_t beginMs = 4'000;
    constexpr std::int64_t endMs = 9'000;
    script = [](int, const Request &request) { return Answer{.bytes = ScriptedUpstream::completeAnswer(request, 200, "done"), .delayMs = workMs}; };
    signalAt = Clock::now();
    vm->signal(SIGTERM);
    std::this_thread::sleep_until(signalAt + std::chrono::milliseconds(beginMs));
    int answered = 0;
    while (sinceSignalMs() < endMs) {
        const std::size_t before = runs();
        const CallerAnswer order = send("POST", "/once/x", "order");
        CAPTURE(sinceSignalMs());
        CHECK((order.status != 0 || runs() == before));
        answered += order.status == 200 ? 1 : 0;
        if (order.status == 0) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs));
    }
    CHECK(answered > 0);
    CHECK(vm->wait() == 0);
    CHECK(sinceSignalMs() < endMs);
}

TEST_CASE_FIXTURE(StoppingFixture, "vm_manyCallersArriveWhileItExits_noOrderThatRanIsWithoutAnswer")
{
    // As above, with requests at every moment of the exit, on new and on kept connections.
    setGracePeriod(10);
    script = [](int, const Request &request) { return Answer{.bytes = ScriptedUpstream::completeAnswer(request, 200, "done"), .delayMs = 60}; };
    signalAt = Clock::now();
    vm->signal(SIGTERM);
    std::this_thread::sleep_until(signalAt + std::chrono::milliseconds(4'300));
    std::atomic<int> answered{0};
    std::atomic<int> lost{0};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < 6; ++caller) {
        threads.emplace_back([&, caller] {
            PersistentCaller connection(callerPort);
            for (int i = 0; sinceSignalMs() < 9'000; ++i) {
                const std::string id = "late-" + std::to_string(caller) + "-" + std::to_string(i);
                const std::string text = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nContent-Length: 5\r\n\r\norder";
                const int status = connection.exchange(text, text.size());
                answered += status == 200 ? 1 : 0;
                if (status == 0) {
                    lost += hasRun(id) ? 1 : 0;
                    return;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(100 + (caller * 37 + i * 53) % 200));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(answered > 0);
    CHECK(lost == 0);
    CHECK(vm->wait() == 0);
    CHECK(sinceSignalMs() < 9'500);
}
