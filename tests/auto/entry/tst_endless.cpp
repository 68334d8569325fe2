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

/// An answer that starts with begin and then repeats endless without end.
struct EndlessAnswer {
    std::string name;
    std::string begin;
    std::string endless;
};

std::vector<EndlessAnswer> endlessAnswers()
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
    void answerWith(const EndlessAnswer &endlessAnswer)
    {
        script = [endlessAnswer](int, const Request &) { return Answer{.bytes = endlessAnswer.begin, .endlessBytes = endlessAnswer.endless}; };
    }

    void answerSuccessfully()
    {
        script = [](int, const Request &request) { return Answer{ScriptedUpstream::completeAnswer(request, 200, "good")}; };
    }

    /// Sends a request and checks the answer: 502 or 504 (may have run) if an upstream received the request, 503 (not run) if none
    /// did. Returns whether an upstream received it.
    [[nodiscard]] bool reachesUpstreamAndStatusMatches(const std::function<CallerAnswer()> &request) const
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
    for (const EndlessAnswer &endlessAnswer : endlessAnswers()) {
        CAPTURE(endlessAnswer.name);
        answerWith(endlessAnswer);
        // Upstreams that sent such answers get no requests for some time; meanwhile requests are rejected before execution.
        CHECK(eventually([this] { return reachesUpstreamAndStatusMatches([this] { return get("/safe/x"); }); }));
        CHECK(eventually([this] { return reachesUpstreamAndStatusMatches([this] { return send("POST", "/once/x", "order"); }); }));
        answerSuccessfully();
        CHECK(eventually([this] { return get("/safe/after").status == 200; }));
    }
    CHECK(vm->isRunning());
}

TEST_CASE_FIXTURE(EndlessFixture, "answers_neverEndOnManyConnectionsAtOnce_memoryStaysWithinTheVmsLimit")
{
    for (const EndlessAnswer &endlessAnswer : endlessAnswers()) {
        CAPTURE(endlessAnswer.name);
        answerWith(endlessAnswer);
        std::vector<std::thread> callers;
        std::atomic<int> whole{0};
        for (int i = 0; i < 60; ++i) {
            callers.emplace_back([&, i] { whole += get("/safe/" + std::to_string(i)).whole ? 1 : 0; });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        CHECK(whole == 60);
        answerSuccessfully();
        CHECK(eventually([this] { return get("/safe/after").status == 200; }));
    }
    CHECK(vm->isRunning());
    const long peak = peakMemoryKb();
    CHECK(peak > 0);
    CHECK(peak < defaultVmMemoryKb);
}
