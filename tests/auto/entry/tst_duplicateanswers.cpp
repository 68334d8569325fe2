#include "entryfixture.h"

#include <doctest/doctest.h>

#include <array>
#include <mutex>
#include <random>
#include <utility>

using namespace Wasabistair;
using namespace Wasabistair::Tests;
using StandIns::ScriptedUpstream;

namespace {

constexpr int rounds = 200;
// Fewer rounds: when the declared length of a partial answer covers the answer behind it, the request lasts until the route's
// timeout.
constexpr int partialAnswerRounds = 40;
constexpr std::uint64_t seed = 20261204;
const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";

/// Upstreams that resend answers to earlier requests, completely or in part, in place of or beside the next answer. Guards
/// against a caller getting an answer to another caller's request from a reused connection.
struct DuplicateAnswerFixture: EntryFixture {
    std::string ownAnswer(const Request &request)
    {
        return ScriptedUpstream::completeAnswer(request, 200, "own " + request.header("X-Request-Id"));
    }

    /// Records @p answer as the latest of @p upstream and returns the one before, which is to be resent.
    std::string exchangeLastAnswer(int upstream, const std::string &answer)
    {
        const std::lock_guard lock(mutex);
        return std::exchange(lastAnswers[static_cast<std::size_t>(upstream)], answer);
    }

    std::size_t randomBelow(std::size_t limit)
    {
        const std::lock_guard lock(mutex);
        return limit == 0 ? 0 : random() % limit;
    }

    /// Number in the X-Request-Id of an answer, as assigned by the fixture; 0 for an answer without one.
    static int requestNumberOf(const CallerAnswer &answer)
    {
        const std::string id = StandIns::ReceivedRequest{answer.head, ""}.header("X-Request-Id");
        return id.starts_with("request-") ? std::stoi(id.substr(id.find('-') + 1)) : 0;
    }

    /// Checks that the answer is complete and belongs to the request, or is a failure without the body of another answer.
    void checkOwnOrFailure(const CallerAnswer &answer, const std::string &method, int number)
    {
        if (answer.status != 200) {
            CHECK(answer.status >= 500);
            CHECK(answer.body.find("own ") == std::string::npos);
            return;
        }
        ++successes;
        CHECK(requestNumberOf(answer) == number);
        CHECK((method == "HEAD" || answer.whole));
        CHECK(answer.body == (method == "HEAD" ? "" : "own request-" + std::to_string(number)));
    }

    void sendManyAndCheck(const std::string &method, const std::string &path, int count = rounds)
    {
        for (int i = 1; i <= count; ++i) {
            checkOwnOrFailure(send(method, path), method, numberBefore + i);
        }
    }

    const int numberBefore = requestNumberOf(get("/safe/x"));
    std::mutex mutex;
    std::mt19937_64 random{seed};
    std::array<std::string, 2> lastAnswers;
    int successes = 0;
};

} // namespace

TEST_CASE_FIXTURE(DuplicateAnswerFixture, "duplicateAnswer_prefixBeforeTheNextAnswer_reachesNoCaller")
{
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        const std::string duplicate = exchangeLastAnswer(upstream, own);
        return Answer{duplicate.substr(0, randomBelow(duplicate.size() + 1)) + own};
    };
    sendManyAndCheck("GET", "/safe/x", partialAnswerRounds);
    CHECK(successes > 0);
    CHECK(vm->isRunning());
}

TEST_CASE_FIXTURE(DuplicateAnswerFixture, "duplicateAnswer_suffixBeforeTheNextAnswer_reachesNoCaller")
{
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        const std::string duplicate = exchangeLastAnswer(upstream, own);
        return Answer{duplicate.substr(randomBelow(duplicate.size() + 1)) + own};
    };
    sendManyAndCheck("GET", "/safe/x", partialAnswerRounds);
    CHECK(successes > 0);
    CHECK(vm->isRunning());
}

TEST_CASE_FIXTURE(DuplicateAnswerFixture, "duplicateAnswer_completeAfterInterimAnswers_isSkipped")
{
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        return Answer{interim + exchangeLastAnswer(upstream, own) + interim + own};
    };
    sendManyAndCheck("GET", "/safe/x");
    CHECK(successes == rounds);
}

TEST_CASE_FIXTURE(DuplicateAnswerFixture, "duplicateAnswer_withBodyBeforeAnAnswerToHead_reachesNoCaller")
{
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        const std::string duplicate = exchangeLastAnswer(upstream, own);
        const bool head = request.head.starts_with("HEAD ");
        return Answer{duplicate + (head ? own.substr(0, own.find("\r\n\r\n") + 4) : own)};
    };
    sendManyAndCheck("HEAD", "/safe/x");
    CHECK(successes > 0);
    CHECK(vm->isRunning());
}

TEST_CASE_FIXTURE(DuplicateAnswerFixture, "duplicateAnswer_completeAndLateAfterNonIdempotentRequest_isSkippedAndNoRequestFails")
{
    // The duplicate arrives 30 ms after the answer: while the connection is idle, or after the next request was sent on it.
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        return Answer{.bytes = own, .lateBytes = exchangeLastAnswer(upstream, own)};
    };
    sendManyAndCheck("POST", "/once/x");
    CHECK(successes == rounds);
}

TEST_CASE_FIXTURE(DuplicateAnswerFixture, "duplicateAnswer_prefixLateAfterNonIdempotentRequest_reachesNoCaller")
{
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        const std::string duplicate = exchangeLastAnswer(upstream, own);
        return Answer{.bytes = own, .lateBytes = duplicate.substr(0, randomBelow(duplicate.size() + 1))};
    };
    sendManyAndCheck("POST", "/once/x", partialAnswerRounds);
    CHECK(successes > 0);
    CHECK(vm->isRunning());
}

TEST_CASE_FIXTURE(DuplicateAnswerFixture, "duplicateAnswer_isAnEarlierRejectionWithoutId_requestRunsOnceAndIsNeverToldAsNotRun")
{
    // Guards against a caller that is told "not run", or a second upstream that runs the request, because of a rejection that an upstream
    // repeats on a reused connection without the id that every answer to a request carries.
    script = [this](int, const Request &request) { return Answer{"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" + ownAnswer(request)}; };
    for (int i = 1; i <= rounds / 4; ++i) {
        const std::size_t before = runs();
        const CallerAnswer answer = send("POST", "/once/x", "order");
        CHECK(runs() <= before + 1);
        // After a few such answers this VM ejects both upstreams and sends nothing.
        CHECK((answer.status == 503) == (runs() == before));
    }
}
