#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <soak/soakchecks.h>

#include <set>

using namespace Wasabistair::Soak;
using Wasabistair::StandIns::CallerResult;

namespace {

constexpr std::int64_t start = 1'000'000;

/// One caller of one VM and one upstream, without faults.
struct CheckRunFixture {
    CheckRunFixture()
    {
        record.startMs = start;
        record.callers.emplace_back();
    }

    CallerView &request(const std::string &id, int status, int version = 0)
    {
        CallerView view;
        view.record.id = id;
        view.record.method = "GET";
        view.record.result = CallerResult::Answered;
        view.record.status = status;
        view.version = version;
        view.startsBefore = view.startsAfter = 1;
        record.callers.back().push_back(view);
        return record.callers.back().back();
    }
    std::size_t findings(bool bounds = false) const
    {
        return checkRun(record, executions, bounds).size();
    }

    SoakRun record;
    std::vector<UpstreamExecutions> executions{{"a", {}, {}}};
};

} // namespace

TEST_CASE("plan_sameSeed_isTheSameAndOtherSeedsDiffer")
{
    const RunSize size;
    CHECK((generatePlan(7, size) == generatePlan(7, size)));
    CHECK((generatePlan(7, size) != generatePlan(8, size)));
}

TEST_CASE("plan_manySeeds_hasEveryKindAndLeavesTimeToRecover")
{
    const RunSize size;
    std::set<FaultKind> kinds;
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        for (const Fault &fault : generatePlan(seed, size)) {
            kinds.insert(fault.kind);
            CHECK(fault.atMs + fault.durationMs <= size.durationMs * 65 / 100);
        }
    }
    CHECK(kinds.size() == faultKindCount);
}

TEST_CASE_FIXTURE(CheckRunFixture, "checkRun_noViolation_findsNothing")
{
    request("r1", 200);
    request("r2", 503);
    executions[0].executions = {{"r1", "u", start}};
    CHECK(findings(true) == 0);
}

TEST_CASE_FIXTURE(CheckRunFixture, "checkRun_postRequestRunsTwice_isFound")
{
    request("r1", 502).record.method = "POST";
    executions[0].executions = {{"r1", "u", start}, {"r1", "u", start + 50}};
    CHECK(findings() == 1);
}

TEST_CASE_FIXTURE(CheckRunFixture, "checkRun_rejectedRequestRan_isFound")
{
    request("r1", 503);
    executions[0].executions = {{"r1", "u", start}};
    CHECK(findings() == 1);
}

TEST_CASE_FIXTURE(CheckRunFixture, "checkRun_answerOfAnotherRequestOrWithoutExecution_isFound")
{
    request("r1", 200).record.result = CallerResult::WrongAnswer;
    request("r2", 200);
    executions[0].executions = {{"r1", "u", start}};
    CHECK(findings() == 2);
}

TEST_CASE_FIXTURE(CheckRunFixture, "checkRun_olderManifestWithinAProcess_isFound")
{
    request("r1", 200, 3);
    request("r2", 404, 2);
    executions[0].executions = {{"r1", "u", start}};
    CHECK(findings() == 1);
    record.callers.back().back().startsBefore = record.callers.back().back().startsAfter = 2;
    CHECK(findings() == 0);
}

TEST_CASE_FIXTURE(CheckRunFixture, "checkRun_drainingUpstreamGetsRequests_isFoundUnlessDisturbed")
{
    request("r1", 200);
    record.drainPeriods = {{"u", "", start, 0, 2'500}};
    executions[0].executions = {{"r1", "u", start + 2'600}};
    CHECK(findings(true) == 0);
    executions[0].executions = {{"r1", "u", start + 2'800}};
    CHECK(findings(true) == 1);
    record.plan = {{FaultKind::StoreSilent, 0, 400, 0}};
    CHECK(findings(true) == 0);
    record.plan = {{FaultKind::StoreSilent, 0, 400, 1}};
    CHECK(findings(true) == 1);
}

TEST_CASE_FIXTURE(CheckRunFixture, "checkRun_evacuatedZoneGetsRequests_isFoundUntilTheEvacuationEnds")
{
    request("r1", 200);
    record.drainPeriods = {{"", "a", start, start + 9'000, 5'000}};
    executions[0].executions = {{"r1", "u", start + 6'000}};
    CHECK(findings(true) == 1);
    executions[0].executions = {{"r1", "u", start + 9'500}};
    CHECK(findings(true) == 0);
    executions[0].zone = "b";
    executions[0].executions = {{"r1", "u", start + 6'000}};
    CHECK(findings(true) == 0);
}

TEST_CASE_FIXTURE(CheckRunFixture, "checkRun_leavingUpstreamGetsRequestsLate_isFoundUnlessTheVmWasDisturbed")
{
    const auto arrive = [this](const std::string &id, std::int64_t sentMs, bool leaving) {
        CallerView &view = request(id, 200);
        view.sentMs = sentMs;
        view.answeredMs = sentMs + 30;
        executions[0].arrivals.push_back({id, "u", sentMs + 5, {leaving, 0, 0}});
        executions[0].executions.push_back({id, "u", sentMs + 5});
    };
    arrive("r1", start, true);
    arrive("r2", start + 2'400, true);
    CHECK(findings(true) == 0);
    arrive("r3", start + 2'600, true);
    CHECK(findings(true) == 1);
    CHECK(findings(false) == 0);
    record.plan = {{FaultKind::StoreSilent, 0, 5'000, 0}};
    CHECK(findings(true) == 1);
    record.plan = {{FaultKind::VmPaused, 1'000, 300, 0}};
    CHECK(findings(true) == 0);
}

TEST_CASE_FIXTURE(CheckRunFixture, "checkRun_pausingUpstreamGetsMoreThanTwo_isFound")
{
    const auto arrive = [this](const std::string &id, std::int64_t atMs, std::int64_t pauseMs) {
        request(id, pauseMs > 0 ? 503 : 200);
        executions[0].arrivals.push_back({id, "u", atMs, {false, pauseMs, 0}});
        if (pauseMs == 0) {
            executions[0].executions.push_back({id, "u", atMs});
        }
    };
    arrive("r0", start, 1'500);
    arrive("r1", start + 400, 0);
    arrive("r2", start + 600, 0);
    arrive("r3", start + 700, 0);
    arrive("r4", start + 1'600, 0);
    CHECK(findings(true) == 0);
    arrive("r5", start + 800, 0);
    CHECK(findings(true) == 1);
}

TEST_CASE_FIXTURE(CheckRunFixture, "checkRun_upstreamGetsMoreThanItsLimitTolerates_isFound")
{
    // A limit of 1 a second tolerates 11 in 4 s.
    const auto play = [this](std::int64_t intervalMs) {
        record.callers.back().clear();
        executions[0] = {"a", {}, {}};
        int number = 0;
        for (std::int64_t at = start; at < start + 12'000; at += intervalMs) {
            const std::string id = "r" + std::to_string(++number);
            CallerView &view = request(id, 200);
            view.sentMs = at;
            view.answeredMs = at + 30;
            executions[0].arrivals.push_back({id, "u", at, {false, 0, 1}});
            executions[0].executions.push_back({id, "u", at});
        }
        return findings(true);
    };
    CHECK(play(400) == 0);
    CHECK(play(300) == 1);
}
