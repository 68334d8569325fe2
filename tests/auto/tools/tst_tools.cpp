#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <standins/childprocess.h>

#include <nlohmann/json.hpp>

#include <Poco/TemporaryFile.h>

#include <fstream>
#include <iterator>

using namespace Wasabistair;

namespace {

constexpr int exitTimeoutMs = 20'000;

struct ToolFixture {
    ToolFixture()
    {
        std::ofstream(log.path()) << "time=2026-12-04T07:00:01.000 level=INFO event=started vm=amman-a-1 zone=amman-a\n"
                                     "not a log line\n"
                                     "time=2026-12-04T07:00:02.000 level=INFO event=request request=r-1 end=no-room status=503 route=reads "
                                     "service=s upstream=\"\" outcome=none trail=\"\" loadPercent=340 tookMs=32 leftMs=700\n";
    }

    /// Runs wasabistairctl and returns its exit code; output() returns what it printed.
    int run(const std::vector<std::string> &arguments)
    {
        std::ofstream(printed.path(), std::ios::trunc).close();
        StandIns::ChildProcess tool("wasabistairctl", arguments, printed.path());
        return tool.waitFor(exitTimeoutMs);
    }
    std::string output() const
    {
        std::ifstream file(printed.path());
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    Poco::TemporaryFile log;
    Poco::TemporaryFile printed;
};

} // namespace

TEST_CASE_FIXTURE(ToolFixture, "explain_loggedRequest_printsItsCauseAndUnreadableLines")
{
    CHECK(run({"explain", "--request=r-1", log.path()}) == 0);
    CHECK(output().find("request r-1: service-full") != std::string::npos);
    CHECK(output().find("amman-a-1  request") != std::string::npos);
    CHECK(output().find("line 2: no time") != std::string::npos);
    CHECK(output().find("1 of 3 lines were not understood") != std::string::npos);
}

TEST_CASE_FIXTURE(ToolFixture, "explain_asJson_isOneDocument")
{
    CHECK(run({"explain", "--request=r-1", "--output=json", log.path()}) == 0);
    const std::string text = output();
    const auto json = nlohmann::json::parse(text.substr(text.find('{')), nullptr, false);
    REQUIRE(json.is_object());
    CHECK(json.value("cause", "") == "service-full");
    CHECK(json.value("linesNotUnderstood", 0) == 1);
    CHECK(json["ends"].size() == 1);
}

TEST_CASE_FIXTURE(ToolFixture, "explain_nothingFound_failsWithExitCode")
{
    CHECK(run({"explain", "--request=r-2", log.path()}) == 7);
    CHECK(output().find("not-logged") != std::string::npos);
    CHECK(run({"explain", "--upstream=u-9", log.path()}) == 7);
    CHECK(run({"explain", "--request=r-1", log.path() + ".missing"}) == 7);
    CHECK(run({"explain", log.path()}) == 2);
    CHECK(run({"experiment", "--pattern=storm"}) == 2);
}

TEST_CASE_FIXTURE(ToolFixture, "experiment_onePattern_printsEveryPolicyForBothFleets")
{
    CHECK(run({"experiment", "--pattern=calm", "--output=json"}) == 0);
    const auto json = nlohmann::json::parse(output(), nullptr, false);
    REQUIRE(json.is_array());
    CHECK(json.size() == 6);
}
