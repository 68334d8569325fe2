#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <soak/soakjudge.h>

#include <set>

using namespace Wasabistair::Soak;
using Wasabistair::StandIns::CallerResult;

namespace {

constexpr std::int64_t start = 1'000'000;

/// One caller of one VM and one upstream, without faults.
struct JudgeFixture {
    JudgeFixture()
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
        return judgeRun(record, runs, bounds).size();
    }

    RunRecord record;
    std::vector<UpstreamRuns> runs{{"a", {}}};
};

} // namespace

TEST_CASE("plan_sameSeed_isTheSameAndOtherSeedsDiffer")
{
    const Size size;
    CHECK((drawPlan(7, size) == drawPlan(7, size)));
    CHECK((drawPlan(7, size) != drawPlan(8, size)));
}

TEST_CASE("plan_manySeeds_hasEveryKindAndLeavesTimeToRecover")
{
    const Size size;
    std::set<FaultKind> kinds;
    for (std::uint64_t seed = 0; seed < 60; ++seed) {
        for (const Fault &fault : drawPlan(seed, size)) {
            kinds.insert(fault.kind);
            CHECK(fault.atMs + fault.forMs <= size.durationMs * 65 / 100);
        }
    }
    CHECK(kinds.size() == faultKindCount);
}

TEST_CASE_FIXTURE(JudgeFixture, "judge_allWell_findsNothing")
{
    request("r1", 200);
    request("r2", 503);
    runs[0].runs = {{"r1", "u", start}};
    CHECK(findings(true) == 0);
}

TEST_CASE_FIXTURE(JudgeFixture, "judge_orderRunsTwice_isFound")
{
    request("r1", 502).record.method = "POST";
    runs[0].runs = {{"r1", "u", start}, {"r1", "u", start + 50}};
    CHECK(findings() == 1);
}

TEST_CASE_FIXTURE(JudgeFixture, "judge_refusedRequestRan_isFound")
{
    request("r1", 503);
    runs[0].runs = {{"r1", "u", start}};
    CHECK(findings() == 1);
}

TEST_CASE_FIXTURE(JudgeFixture, "judge_answerOfAnotherOrOfNoRun_isFound")
{
    request("r1", 200).record.result = CallerResult::WrongAnswer;
    request("r2", 200);
    runs[0].runs = {{"r1", "u", start}};
    CHECK(findings() == 2);
}

TEST_CASE_FIXTURE(JudgeFixture, "judge_manifestGoesBackWithinAProcess_isFound")
{
    request("r1", 200, 3);
    request("r2", 404, 2);
    runs[0].runs = {{"r1", "u", start}};
    CHECK(findings() == 1);
    record.callers.back().back().startsBefore = record.callers.back().back().startsAfter = 2;
    CHECK(findings() == 0);
}

TEST_CASE_FIXTURE(JudgeFixture, "judge_leavingUpstreamGetsMore_isFoundUnlessSomethingWasDisturbed")
{
    request("r1", 200);
    record.leavings = {{"u", "", start, 0, 2'500}};
    runs[0].runs = {{"r1", "u", start + 2'600}};
    CHECK(findings(true) == 0);
    runs[0].runs = {{"r1", "u", start + 2'800}};
    CHECK(findings(true) == 1);
    record.plan = {{FaultKind::StoreSilent, 0, 400, 0}};
    CHECK(findings(true) == 0);
    record.plan = {{FaultKind::StoreSilent, 0, 400, 1}};
    CHECK(findings(true) == 1);
}

TEST_CASE_FIXTURE(JudgeFixture, "judge_evacuatedZoneGetsMore_isFoundUntilItIsTakenBack")
{
    request("r1", 200);
    record.leavings = {{"", "a", start, start + 9'000, 5'000}};
    runs[0].runs = {{"r1", "u", start + 6'000}};
    CHECK(findings(true) == 1);
    runs[0].runs = {{"r1", "u", start + 9'500}};
    CHECK(findings(true) == 0);
    runs[0].zone = "b";
    runs[0].runs = {{"r1", "u", start + 6'000}};
    CHECK(findings(true) == 0);
}
