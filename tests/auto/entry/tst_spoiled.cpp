#include "entryfixture.h"

#include <standins/mutation.h>

#include <doctest/doctest.h>

using namespace Wasabistair;
using Wasabistair::StandIns::Mutator;
using Wasabistair::Tests::EntryFixture;

namespace {

constexpr int rounds = 300;
constexpr std::uint64_t seed = 20261204;

struct SpoiledFixture: EntryFixture {
    Mutator mutator{seed};
};

} // namespace

TEST_CASE_FIXTURE(SpoiledFixture, "requests_spoiled_vmGoesOnServing")
{
    const std::string whole = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 300\r\n"
                              "Content-Length: 5\r\n\r\nhello";
    for (int i = 0; i < rounds; ++i) {
        const std::string answer = sendRaw(mutator.spoilBytes(whole));
        CHECK((answer.empty() || answer.starts_with("HTTP/1.1 ")));
    }
    CHECK(vm->isRunning());
    CHECK(get("/safe/after").status == 200);
}

TEST_CASE_FIXTURE(SpoiledFixture, "answers_spoiled_callerGetsAWholeAnswerToItsRequestOrAFailure")
{
    const auto sound = script;
    script = [this](int, const Request &request) {
        return Answer{.bytes = mutator.spoilBytes(StandIns::ScriptedUpstream::wholeAnswer(request, 200, "a body of some length")), .closeAfter = true};
    };
    for (int i = 0; i < rounds; ++i) {
        const auto answer = get("/safe/" + std::to_string(i));
        CHECK(answer.status >= 200);
        CHECK(answer.whole);
    }
    script = sound;
    CHECK(vm->isRunning());
    CHECK(eventually([this] { return get("/safe/after").status == 200; }));
}
