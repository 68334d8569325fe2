#include "entryfixture.h"

#include <doctest/doctest.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <array>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace Wasabistair::Tests;

namespace {

using Clock = std::chrono::steady_clock;

// A caller that sends no more than this is not cut off for its size alone: the largest body that is taken.
constexpr std::size_t mostBytes = std::size_t{80} << 20;
constexpr int mostSeconds = 20;

/// Bytes of a caller that never come to an end.
struct Stream {
    std::string name;
    std::string begin;
    std::string endless;
};

std::vector<Stream> endlessStreams()
{
    const std::string filler(16'384, 'a');
    const std::string head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: endless\r\n";
    std::string fields;
    for (int i = 0; i < 200; ++i) {
        fields += "F: v\r\n";
    }
    return {
        {"request line", "GET /safe/", filler},
        {"field", "GET /safe/x HTTP/1.1\r\nX: ", filler},
        {"fields", "GET /safe/x HTTP/1.1\r\n", fields},
        {"chunk size line", head + "Transfer-Encoding: chunked\r\n\r\n1;", filler},
        {"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", fields},
        {"chunked body", head + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n"},
    };
}

struct EndlessCallerFixture: EntryFixture {
    struct Ending {
        bool cutOff = false;
        std::size_t sentBytes = 0;
        std::chrono::milliseconds took{0};
        /// What the VM had sent by then.
        std::string received;
    };

    /// Sends @p stream until the VM ends the connection, with @p pause between two pieces, for at most mostSeconds.
    Ending sendUntilCutOff(const Stream &stream, std::chrono::milliseconds pause = {}) const
    {
        Ending ending;
        const auto begin = Clock::now();
        try {
            Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", callerPort));
            socket.setSendTimeout(Poco::Timespan(2, 0));
            socket.sendBytes(stream.begin.data(), static_cast<int>(stream.begin.size()));
            while (!ending.cutOff && ending.sentBytes < mostBytes && Clock::now() - begin < std::chrono::seconds(mostSeconds)) {
                ending.sentBytes += static_cast<std::size_t>(socket.sendBytes(stream.endless.data(), static_cast<int>(stream.endless.size())));
                std::this_thread::sleep_for(pause);
                std::array<char, 4096> buffer;
                if (socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
                    const int got = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                    ending.received.append(buffer.data(), static_cast<std::size_t>(std::max(0, got)));
                    ending.cutOff = true;
                }
            }
        } catch (const Poco::Exception &) {
            // The VM reset the connection, or took nothing more.
            ending.cutOff = true;
        }
        ending.took = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
        return ending;
    }
};

} // namespace

TEST_CASE_FIXTURE(EndlessCallerFixture, "request_neverEnds_isCutOffAndOthersAreServed")
{
    const std::size_t before = runs();
    std::size_t others = 0;
    for (const Stream &stream : endlessStreams()) {
        CAPTURE(stream.name);
        const Ending ending = sendUntilCutOff(stream);
        CHECK(ending.cutOff);
        // What no VM could take is the caller's fault; what this one has no memory for may be asked elsewhere. Neither has run.
        const bool refused = ending.received.starts_with("HTTP/1.1 4") || ending.received.starts_with("HTTP/1.1 503");
        CHECK((ending.received.empty() || refused));
        CHECK(get("/safe/after").status == 200);
        ++others;
    }
    CHECK(runs() == before + others);
    CHECK(vm->isRunning());
}

TEST_CASE_FIXTURE(EndlessCallerFixture, "requests_neverEndOnManyConnectionsAtOnce_memoryStaysWithinTheVmsLimit")
{
    for (const Stream &stream : endlessStreams()) {
        CAPTURE(stream.name);
        std::vector<std::thread> callers;
        for (int i = 0; i < 40; ++i) {
            callers.emplace_back([&] { static_cast<void>(sendUntilCutOff(stream)); });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CHECK(eventually([this] { return get("/safe/after").status == 200; }));
    }
    CHECK(vm->isRunning());
    const long peak = peakMemoryKb();
    CHECK(peak > 0);
    CHECK(peak < vmMemoryKb);
}

TEST_CASE_FIXTURE(EndlessCallerFixture, "request_bodyComesAByteAtATime_isToldNotRunSoonAfterItsDeadline")
{
    const std::size_t before = runs();
    const std::string head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 900\r\nContent-Length: 100000\r\n\r\n";
    const Ending ending = sendUntilCutOff({"slow body", head, "a"}, std::chrono::milliseconds(100));
    CHECK(ending.received.starts_with("HTTP/1.1 408"));
    CHECK(ending.took < std::chrono::milliseconds(900 + 2'000));
    CHECK(runs() == before);
}

TEST_CASE_FIXTURE(EndlessCallerFixture, "request_headComesAByteAtATime_isCutOffAfterTheTimeForHeads")
{
    const Ending ending = sendUntilCutOff({"slow head", "GET /safe/x HTTP/1.1\r\nX: ", "a"}, std::chrono::milliseconds(100));
    CHECK(ending.cutOff);
    CHECK(ending.took < std::chrono::milliseconds(3'000 + 2'000));
}
