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
// A part whose declared length takes in the answer behind it ends at the route's timeout only.
constexpr int roundsOfParts = 40;
constexpr std::uint64_t seed = 20261204;
const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";

/// Upstreams that send answers of earlier requests again, whole or in part, where the next answer is due.
struct SecondCopyFixture: EntryFixture {
    std::string ownAnswer(const Request &request)
    {
        return ScriptedUpstream::wholeAnswer(request, 200, "own " + request.header("X-Request-Id"));
    }

    /// What an upstream sent last, for the copy.
    std::string exchangeLast(int upstream, const std::string &answer)
    {
        const std::lock_guard lock(mutex);
        return std::exchange(last[static_cast<std::size_t>(upstream)], answer);
    }

    std::size_t below(std::size_t limit)
    {
        const std::lock_guard lock(mutex);
        return limit == 0 ? 0 : random() % limit;
    }

    /// Number of the request that was answered, as the fixture gave it; 0 for an answer without one.
    static int numberOf(const CallerAnswer &answer)
    {
        const std::string id = StandIns::ReceivedRequest{answer.head, ""}.header("X-Request-Id");
        return id.starts_with("request-") ? std::stoi(id.substr(id.find('-') + 1)) : 0;
    }

    /// Each answer is whole and the caller's own, or a failure that names no other request.
    void checkOwnOrFailure(const CallerAnswer &answer, const std::string &method, int number)
    {
        if (answer.status != 200) {
            CHECK(answer.status >= 500);
            CHECK(answer.body.find("own ") == std::string::npos);
            return;
        }
        ++good;
        CHECK(numberOf(answer) == number);
        CHECK((method == "HEAD" || answer.whole));
        CHECK(answer.body == (method == "HEAD" ? "" : "own request-" + std::to_string(number)));
    }

    void exchangeMany(const std::string &method, const std::string &path, int count = rounds)
    {
        for (int i = 1; i <= count; ++i) {
            checkOwnOrFailure(send(method, path), method, numberBefore + i);
        }
    }

    const int numberBefore = numberOf(get("/safe/x"));
    std::mutex mutex;
    std::mt19937_64 random{seed};
    std::array<std::string, 2> last;
    int good = 0;
};

} // namespace

TEST_CASE_FIXTURE(SecondCopyFixture, "secondCopy_partOfItWhereTheNextAnswerIsDue_reachesNobody")
{
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        const std::string copy = exchangeLast(upstream, own);
        return Answer{copy.substr(0, below(copy.size() + 1)) + own};
    };
    exchangeMany("GET", "/safe/x", roundsOfParts);
    CHECK(good > 0);
    CHECK(vm->isRunning());
}

TEST_CASE_FIXTURE(SecondCopyFixture, "secondCopy_endOfItWhereTheNextAnswerIsDue_reachesNobody")
{
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        const std::string copy = exchangeLast(upstream, own);
        return Answer{copy.substr(below(copy.size() + 1)) + own};
    };
    exchangeMany("GET", "/safe/x", roundsOfParts);
    CHECK(good > 0);
    CHECK(vm->isRunning());
}

TEST_CASE_FIXTURE(SecondCopyFixture, "secondCopy_wholeBehindInterimAnswers_isPassedOver")
{
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        return Answer{interim + exchangeLast(upstream, own) + interim + own};
    };
    exchangeMany("GET", "/safe/x");
    CHECK(good == rounds);
}

TEST_CASE_FIXTURE(SecondCopyFixture, "secondCopy_ofAnAnswerWithBodyBeforeOneToHead_reachesNobody")
{
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        const std::string copy = exchangeLast(upstream, own);
        const bool head = request.head.starts_with("HEAD ");
        return Answer{copy + (head ? own.substr(0, own.find("\r\n\r\n") + 4) : own)};
    };
    exchangeMany("HEAD", "/safe/x");
    CHECK(good > 0);
    CHECK(vm->isRunning());
}

TEST_CASE_FIXTURE(SecondCopyFixture, "secondCopy_wholeAndLateOnConnectionsOfOrders_isPassedOverAndNoOrderFails")
{
    // It comes 30 ms behind its answer: while the connection is idle, or after the next order was sent on it.
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        return Answer{.bytes = own, .lateBytes = exchangeLast(upstream, own)};
    };
    exchangeMany("POST", "/once/x");
    CHECK(good == rounds);
}

TEST_CASE_FIXTURE(SecondCopyFixture, "secondCopy_partOfItLateOnConnectionsOfOrders_reachesNobody")
{
    script = [this](int upstream, const Request &request) {
        const std::string own = ownAnswer(request);
        const std::string copy = exchangeLast(upstream, own);
        return Answer{.bytes = own, .lateBytes = copy.substr(0, below(copy.size() + 1))};
    };
    exchangeMany("POST", "/once/x", roundsOfParts);
    CHECK(good > 0);
    CHECK(vm->isRunning());
}
