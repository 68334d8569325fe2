#include "entryfixture.h"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace Wasabistair::Tests;
using Wasabistair::StandIns::ScriptedUpstream;

namespace {

/// Bytes of an upstream that never come to an end.
struct Stream {
    std::string name;
    std::string begin;
    std::string endless;
};

std::vector<Stream> endlessStreams()
{
    const std::string sealed = "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n";
    const std::string filler(16'384, 'a');
    std::string interim;
    std::string trailers;
    std::string fields;
    for (int i = 0; i < 200; ++i) {
        interim += "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        trailers += "T: v\r\n";
        fields += "F: v\r\n";
    }
    return {
        {"status line", "", filler},
        {"field", "HTTP/1.1 200 OK\r\nX: ", filler},
        {"fields", "HTTP/1.1 200 OK\r\n", fields},
        {"interim answers", "", interim},
        {"chunk size line", sealed + "Transfer-Encoding: chunked\r\n\r\n1;", filler},
        {"trailers", sealed + "Transfer-Encoding: chunked\r\n\r\n0\r\n", trailers},
        {"chunked body", sealed + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + filler + "\r\n"},
        {"body until close", sealed + "\r\n", filler},
        {"body of a length", sealed + "Content-Length: 999999999999\r\n\r\n", filler},
    };
}

struct EndlessFixture: EntryFixture {
    void answerWith(const Stream &stream)
    {
        script = [stream](int, const Request &) { return Answer{.bytes = stream.begin, .endlessBytes = stream.endless}; };
    }

    void answerWell()
    {
        script = [](int, const Request &request) { return Answer{ScriptedUpstream::wholeAnswer(request, 200, "good")}; };
    }

    /// Makes a request. True when an upstream got it and the caller was told that it may have run; checks that it is told that it
    /// did not run only when no upstream got it.
    [[nodiscard]] bool isTruthful(const std::function<CallerAnswer()> &request) const
    {
        const std::size_t before = runs();
        const CallerAnswer answer = request();
        const bool reached = runs() > before;
        CHECK(answer.whole);
        CHECK((reached ? answer.status == 502 || answer.status == 504 : answer.status == 503));
        return reached;
    }
};

} // namespace

TEST_CASE_FIXTURE(EndlessFixture, "answer_neverEnds_isGivenUpTruthfullyAndOthersAreServed")
{
    for (const Stream &stream : endlessStreams()) {
        CAPTURE(stream.name);
        answerWith(stream);
        // Upstreams that sent such answers are left alone for a while: until then requests are refused as not run.
        CHECK(eventually([this] { return isTruthful([this] { return get("/safe/x"); }); }));
        CHECK(eventually([this] { return isTruthful([this] { return send("POST", "/once/x", "order"); }); }));
        answerWell();
        CHECK(eventually([this] { return get("/safe/after").status == 200; }));
    }
    CHECK(vm->isRunning());
}

TEST_CASE_FIXTURE(EndlessFixture, "answers_neverEndOnManyConnectionsAtOnce_memoryStaysWithinTheVmsLimit")
{
    for (const Stream &stream : endlessStreams()) {
        CAPTURE(stream.name);
        answerWith(stream);
        std::vector<std::thread> callers;
        std::atomic<int> whole{0};
        for (int i = 0; i < 60; ++i) {
            callers.emplace_back([&, i] { whole += get("/safe/" + std::to_string(i)).whole ? 1 : 0; });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CHECK(whole == 60);
        answerWell();
        CHECK(eventually([this] { return get("/safe/after").status == 200; }));
    }
    CHECK(vm->isRunning());
    const long peak = peakMemoryKb();
    CHECK(peak > 0);
    CHECK(peak < vmMemoryKb);
}
