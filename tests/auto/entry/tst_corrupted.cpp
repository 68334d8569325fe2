#include "entryfixture.h"

#include <standins/mutation.h>

#include <doctest/doctest.h>

using namespace Wasabistair;
using Wasabistair::StandIns::Mutator;
using Wasabistair::Tests::EntryFixture;

namespace {

constexpr int rounds = 300;
constexpr std::uint64_t seed = 20261204;

struct CorruptionFixture: EntryFixture {
    Mutator mutator{seed};
};

} // namespace

TEST_CASE_FIXTURE(CorruptionFixture, "requests_corrupted_vmKeepsServing")
{
    const std::string validRequest = "POST /once/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 300\r\n"
                                     "Content-Length: 5\r\n\r\nhello";
    for (int i = 0; i < rounds; ++i) {
        const std::string answer = sendRaw(mutator.mutateBytes(validRequest));
        CHECK((answer.empty() || answer.starts_with("HTTP/1.1 ")));
    }
    CHECK(vm->isRunning());
    CHECK(get("/safe/after").status == 200);
}

TEST_CASE_FIXTURE(CorruptionFixture, "answers_corrupted_callerGetsACompleteAnswerToItsRequestOrAFailure")
{
    const auto originalScript = script;
    script = [this](int, const Request &request) {
        return Answer{.bytes = mutator.mutateBytes(StandIns::ScriptedUpstream::completeAnswer(request, 200, "a body of some length")), .closeAfter = true};
    };
    for (int i = 0; i < rounds; ++i) {
        const auto answer = get("/safe/" + std::to_string(i));
        CHECK(answer.status >= 200);
        CHECK(answer.whole);
    }
    script = originalScript;
    CHECK(vm->isRunning());
    CHECK(eventually([this] { return get("/safe/after").status == 200; }));
}
