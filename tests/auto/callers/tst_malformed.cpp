#include <doctest/doctest.h>

#include <standins/fleet.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <nlohmann/json.hpp>

#include <rapidcheck.h>

#include <atomic>
#include <csignal>
#include <thread>
#include <vector>

using namespace Wasabistair;
using namespace Wasabistair::StandIns;

namespace {

/// The bytes of a request and the expected beginning of its answer; an empty one accepts any answer or none.
struct Case {
    std::string name;
    std::string bytes;
    std::string answer;
};

const std::string host = "Host: orders.test\r\n";

/// @p count header fields with values of @p size bytes.
std::string fields(int count, std::size_t size)
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        text += "X-" + std::to_string(i) + ": " + std::string(size, 'x') + "\r\n";
    }
    return text;
}

std::vector<Case> corpus()
{
    const std::string bad = "HTTP/1.1 400";
    return {
        {"both lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", bad},
        {"both lengths, other order", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", bad},
        {"two lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", bad},
        {"two equal lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", bad},
        {"list of lengths", "POST / HTTP/1.1\r\n" + host + "Content-Length: 3, 3\r\n\r\nabc", bad},
        {"signed length", "POST / HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\nabc", bad},
        {"negative length", "POST / HTTP/1.1\r\n" + host + "Content-Length: -3\r\n\r\nabc", bad},
        {"hexadecimal length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 0x3\r\n\r\nabc", bad},
        {"empty length", "POST / HTTP/1.1\r\n" + host + "Content-Length: \r\n\r\nabc", bad},
        {"huge length", "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999\r\n\r\nabc", bad},
        {"length beyond the service's limit", "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999\r\n\r\nabc", "HTTP/1.1 413"},
        {"two encodings", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", bad},
        {"encoding list", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", bad},
        {"identity encoding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: identity\r\n\r\nabc", bad},
        {"unknown encoding", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", bad},
        {"encoding in HTTP/1.0", "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.0 400"},
        {"blank before colon", "POST / HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\nabc", bad},
        {"name with a blank", "GET / HTTP/1.1\r\n" + host + "X Y: 1\r\n\r\n", bad},
        {"empty name", "GET / HTTP/1.1\r\n" + host + ": 1\r\n\r\n", bad},
        {"control character in a value", "GET / HTTP/1.1\r\n" + host + "X-A: a\x01z\r\n\r\n", bad},
        {"zero byte in a value", "GET / HTTP/1.1\r\n" + host + std::string("X-A: a\0z\r\n\r\n", 12), bad},
        {"no host", "GET / HTTP/1.1\r\n\r\n", bad},
        {"two hosts", "GET / HTTP/1.1\r\n" + host + "Host: other.test\r\n\r\n", bad},
        {"invalid host", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", bad},
        {"absolute target", "GET http://orders.test/ HTTP/1.1\r\n" + host + "\r\n", bad},
        {"target without slash", "GET x HTTP/1.1\r\n" + host + "\r\n", bad},
        {"fragment in the target", "GET /#x HTTP/1.1\r\n" + host + "\r\n", bad},
        {"control character in the target", "GET /\x01 HTTP/1.1\r\n" + host + "\r\n", bad},
        {"method with a separator", "G(T / HTTP/1.1\r\n" + host + "\r\n", bad},
        {"long method", std::string(100, 'A') + " / HTTP/1.1\r\n" + host + "\r\n", bad},
        {"connect", "CONNECT /x HTTP/1.1\r\n" + host + "\r\n", "HTTP/1.1 405"},
        {"trace", "TRACE / HTTP/1.1\r\n" + host + "\r\n", "HTTP/1.1 405"},
        {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "HTTP/"},
        {"no version", "GET /\r\n\r\n", "HTTP/"},
        {"long target", "GET /" + std::string(20'000, 'x') + " HTTP/1.1\r\n" + host + "\r\n", bad},
        {"long value", "GET / HTTP/1.1\r\n" + host + "X-A: " + std::string(20'000, 'x') + "\r\n\r\n", bad},
        {"many headers",
            [] {
                std::string text = "GET / HTTP/1.1\r\n" + host;
                for (int i = 0; i < 500; ++i) {
                    text += "X-" + std::to_string(i) + ": 1\r\n";
                }
                return text + "\r\n";
            }(),
            bad},
        {"header over the limit", "GET / HTTP/1.1\r\n" + host + fields(6, 7'000) + "\r\n", "HTTP/1.1 431"},
        {"header without an end", "GET / HTTP/1.1\r\n" + host + fields(90, 8'000), "HTTP/1.1 431"},
        {"chunk size that is no number", "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n", "HTTP/1.1 4"},
        {"chunk cut by a smuggled request",
            "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n" + host + "\r\n",
            "HTTP/1.1 4"},
        {"unknown host", "GET /x HTTP/1.1\r\nHost: nobody.test\r\n\r\n", "HTTP/1.1 404"},
        {"unknown control path", "GET /v1/none HTTP/1.1\r\nHost: nobody.test\r\n\r\n", "HTTP/1.1 404"},
        {"post to a look-up", "POST /v1/lookup HTTP/1.1\r\nHost: nobody.test\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405"},
        {"look-up of no service", "GET /v1/lookup?service=none HTTP/1.1\r\nHost: nobody.test\r\n\r\n", "HTTP/1.1 404"},
        {"binary", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n", 15), "HTTP/"},
    };
}

struct MalformedFixture {
    MalformedFixture()
        : fleet([] {
            FleetPlan plan;
            plan.regions = {"leinster"};
            plan.extraSettings = {"--header-timeout-ms=1500", "--idle-timeout-ms=3000"};
            return plan;
        }())
    {
        std::signal(SIGPIPE, SIG_IGN);
        Steering::ObjectSet objects = fleet.objects();
        objects.services[0].progressTimeoutMs = 1'000;
        const std::uint64_t generation = fleet.publish(objects);
        fleet.startVms();
        REQUIRE(fleet.awaitReady(generation));
    }

    /// Sends @p bytes and returns everything received until the connection ends or nothing arrives for 15 s.
    std::string exchange(const std::string &bytes, bool endInput = true)
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", fleet.entries()[0].port));
        socket.setReceiveTimeout(Poco::Timespan(15, 0));
        std::string answer;
        try {
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            if (endInput) {
                socket.shutdownSend();
            }
            std::string buffer(8'192, '\0');
            int count = 0;
            while ((count = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()))) > 0) {
                answer.append(buffer.data(), static_cast<std::size_t>(count));
            }
        } catch (const Poco::Exception &) {
            // The connection was reset or a receive timed out; what was received before counts.
        }
        return answer;
    }

    Fleet fleet;
};

} // namespace

TEST_CASE_FIXTURE(MalformedFixture, "malformedRequest_anyOfTheCorpus_isRejectedAndReachesNoUpstream")
{
    const std::vector<Case> all = corpus();
    CHECK(all.size() >= 30);
    for (const Case &item : all) {
        const std::string answer = exchange(item.bytes);
        INFO(item.name);
        INFO(answer);
        CHECK(answer.starts_with(item.answer));
        if (answer.starts_with("HTTP/1.1 4")) {
            CHECK(answer.find("Wasabistair-Run: not-run") != std::string::npos);
            CHECK(answer.find("urn:wasabistair:problem:") != std::string::npos);
        }
        // Bytes that follow a rejected request on its connection are never served as another request.
        CHECK(answer.find("HTTP/1.1 200") == std::string::npos);
    }
    for (const auto &upstream : fleet.upstreams()) {
        CHECK(upstream->record().empty());
    }
    CHECK(fleet.vms()[0].process->isRunning());
    CHECK(exchange("GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n", false).starts_with("HTTP/1.1 200"));
}

TEST_CASE_FIXTURE(MalformedFixture, "request_cutInItsBody_isNotRun")
{
    exchange("POST /x HTTP/1.1\r\n" + host + "X-Request-Id: cut-1\r\nContent-Length: 1000\r\n\r\nonly this");
    exchange("POST /x HTTP/1.1\r\n" + host + "X-Request-Id: cut-2\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
    exchange("POST /x HTTP/1.1\r\n" + host + "X-Request-Id: cut-3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n");
    CHECK(fleet.runCountsById().empty());
}

TEST_CASE_FIXTURE(MalformedFixture, "request_headerJustBelowTheLimit_isServed")
{
    const std::string start = "GET / HTTP/1.1\r\n" + host + "Connection: close\r\n" + fields(4, 8'000);
    // The default limit is 32,768 bytes, without the empty line that ends the header.
    const std::string rest = "X-Rest: " + std::string(32'768 - start.size() - 10, 'x') + "\r\n";
    CHECK(exchange(start + rest + "\r\n", false).starts_with("HTTP/1.1 200"));
    CHECK(exchange(start + "X" + rest + "\r\n", false).starts_with("HTTP/1.1 431"));
}

TEST_CASE_FIXTURE(MalformedFixture, "rejection_withMuchInputUnread_stillReachesTheCaller")
{
    const std::string endless = "GET / HTTP/1.1\r\n" + host + fields(90, 8'000);
    std::atomic<int> rejected{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 8; ++caller) {
        callers.emplace_back([&] {
            for (int i = 0; i < 20; ++i) {
                rejected += exchange(endless).starts_with("HTTP/1.1 431") ? 1 : 0;
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    CHECK(rejected.load() == 8 * 20);
}

TEST_CASE_FIXTURE(MalformedFixture, "request_headerArrivesByteByByte_isEndedByTheHeaderTimeout")
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", fleet.entries()[0].port));
    bool ended = false;
    for (int i = 0; i < 60 && !ended; ++i) {
        try {
            socket.sendBytes(i == 0 ? "GET / HT" : "x", 1);
            sleepMs(200);
            char byte = 0;
            ended = socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && socket.receiveBytes(&byte, 1) == 0;
        } catch (const Poco::Exception &) {
            ended = true;
        }
    }
    CHECK(ended);
}

TEST_CASE_FIXTURE(MalformedFixture, "request_pipelined_isAnsweredInOrder")
{
    const std::string one = "GET /1 HTTP/1.1\r\n" + host + "X-Request-Id: one\r\n\r\n";
    const std::string two = "GET /2 HTTP/1.1\r\n" + host + "X-Request-Id: two\r\nConnection: close\r\n\r\n";
    const std::string answer = exchange(one + two, false);
    const std::size_t first = answer.find("id=one;");
    const std::size_t second = answer.find("id=two;");
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(first < second);
}

TEST_CASE_FIXTURE(MalformedFixture, "request_expectContinue_getsInterimAnswer100")
{
    const std::string answer = exchange("POST /x HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc", false);
    CHECK(answer.starts_with("HTTP/1.1 100"));
    CHECK(answer.find("HTTP/1.1 200") != std::string::npos);
}

TEST_CASE_FIXTURE(MalformedFixture, "request_randomBytes_neverRunAndNeverEndTheProcess")
{
    CHECK(rc::check([&] {
        const auto all = corpus();
        std::string bytes = all[*rc::gen::inRange<std::size_t>(0, all.size())].bytes.substr(0, 400);
        const int edits = *rc::gen::inRange(1, 4);
        for (int i = 0; i < edits && !bytes.empty(); ++i) {
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
        }
        exchange(bytes);
    }));
    CHECK(fleet.vms()[0].process->isRunning());
    CHECK(exchange("GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n", false).starts_with("HTTP/1.1 200"));
}
