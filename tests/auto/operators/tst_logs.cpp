#include <base/log.h>
#include <operators/clockoffsets.h>
#include <operators/requestexplanation.h>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <sstream>

using namespace Wasabistair;
using namespace Wasabistair::Operators;

namespace {

constexpr std::int64_t second = 1'000;

struct LogFixture {
    /// Adds a log line of @p vm with the fields @p text, written @p ms after 07:00.
    void write(const std::string &vm, std::int64_t ms, const std::string &text)
    {
        char time[40];
        std::snprintf(time, sizeof time, "2026-12-04T07:%02d:%02d.%03d", static_cast<int>(ms / 60'000), static_cast<int>(ms / second % 60),
            static_cast<int>(ms % second));
        std::istringstream input(std::string("time=") + time + " level=INFO " + text + "\n");
        readLog(input, vm, set);
    }
    /// Adds a line about the end of request r-1; @p text holds the fields that vary.
    void end(const std::string &vm, std::int64_t ms, const std::string &text)
    {
        write(vm, ms, "event=request request=r-1 route=reads service=catalogue " + text);
    }
    RequestExplanation explanation() const
    {
        return explainRequest(sortedByCorrectedTime(set.lines, clockOffsets(set.lines)), "r-1");
    }

    LogSet set;
};

} // namespace

TEST_CASE("logLine_anyFieldsWritten_areReadBackAsTheyWere")
{
    CHECK(rc::check([](const std::string &raw) {
        std::string value = raw;
        // The log writes control characters as blanks, so that a value can't break the line.
        for (char &c : value) {
            c = c >= 0 && c < ' ' ? ' ' : c;
        }
        std::istringstream input("time=2026-12-04T07:32:36.123 level=INFO " + Base::formatLogLine("probe", {{"first", value}, {"second", 7}}));
        LogSet set;
        readLog(input, "vm-1", set);
        RC_ASSERT(set.faults.empty());
        RC_ASSERT(set.lines.size() == 1U);
        RC_ASSERT(set.lines[0].field("first") == value);
        RC_ASSERT(set.lines[0].number("second") == 7);
        RC_ASSERT(set.lines[0].wallMs % 1'000 == 123);
    }));
}

TEST_CASE("logLine_anyBytes_areParsedOrReportedAndTheNextLineIsParsed")
{
    CHECK(rc::check([](const std::string &raw) {
        std::string bytes = raw;
        std::replace(bytes.begin(), bytes.end(), '\n', ' ');
        std::istringstream input(bytes + "\ntime=2026-12-04T07:32:36.123 level=INFO event=ready vm=a\n");
        LogSet set;
        readLog(input, "vm-1", set);
        RC_ASSERT(set.lines.size() + set.faults.size() == (bytes.empty() ? 1U : 2U));
        RC_ASSERT(set.lines.back().event == "ready");
    }));
}

TEST_CASE("log_withoutVmPrefix_isAttributedToTheStartedVm")
{
    std::istringstream input("time=2026-12-04T07:00:00.000 level=INFO event=ready\n"
                             "time=2026-12-04T07:00:01.000 level=INFO event=started vm=amman-a-1 zone=amman-a\n"
                             "time=2026-12-04T07:00:02.000 level=INFO event=ready\n");
    LogSet set;
    readLog(input, "file", set);
    REQUIRE(set.lines.size() == 3);
    for (const LogLine &line : set.lines) {
        CHECK(line.vm == "amman-a-1");
    }
}

TEST_CASE("log_withVmPrefix_isAttributedToThatVm")
{
    std::istringstream input("  12.345 [amman-a-1]: time=2026-12-04T07:00:00.000 level=INFO event=ready\n");
    LogSet set;
    readLog(input, "file", set);
    REQUIRE(set.lines.size() == 1);
    CHECK(set.lines[0].vm == "amman-a-1");
}

TEST_CASE("log_unreadableLines_areReportedWithTheirFault")
{
    std::istringstream input("not a log line\ntime=yesterday event=ready\ntime=2026-12-04T07:00:00.000 level=INFO\n"
                             "time=2026-12-04T07:00:00.000 event=ready cause=\"no end\n");
    LogSet set;
    readLog(input, "file", set);
    CHECK(set.lines.empty());
    CHECK(set.faults
        == std::vector<LogReadFault>{
            {"file", 1, LogFault::NoTime}, {"file", 2, LogFault::BadTime}, {"file", 3, LogFault::NoEvent}, {"file", 4, LogFault::BadField}});
}

TEST_CASE_FIXTURE(LogFixture, "clocks_minutesApart_linesAreSortedByActualTime")
{
    constexpr std::int64_t ahead = 120 * second;
    for (std::int64_t version = 1; version <= 3; ++version) {
        const std::string change = "event=manifest-in-force version=" + std::to_string(version);
        write("a", version * second, change);
        write("b", version * second + 5, change);
        write("c", version * second + ahead, change);
    }
    write("c", 3'500 + ahead, "event=peer-silent vm=d");
    write("a", 3'600, "event=peer-silent vm=d");
    const auto offsets = clockOffsets(set.lines);
    CHECK(offsets.at("c") - offsets.at("a") == ahead);
    const auto lines = timelineOf(sortedByCorrectedTime(set.lines, offsets), {SubjectKind::Vm, "d"}, 0);
    REQUIRE(lines.size() == 2);
    CHECK(lines[0].vm == "c");
    CHECK(lines[1].wallMs - lines[0].wallMs <= 105);
}

TEST_CASE_FIXTURE(LogFixture, "brokenAnswer_upstreamUnregistered_causeIsUpstreamWentAway")
{
    end("a", 5'000, "end=outcome-unknown status=502 upstream=u-1 outcome=broken trail=u-1:broken:80 tookMs=90 leftMs=900");
    write("a", 5'400, "event=upstream-unregistered upstream=u-1 afterOutage=no");
    write("a", 5'500, "event=upstream-unregistered upstream=u-2 afterOutage=no");
    CHECK((explanation().cause == RequestCause::UpstreamWentAway));
    CHECK(explanation().related.size() == 1);
}

TEST_CASE_FIXTURE(LogFixture, "brokenAnswer_upstreamStillRegistered_causeIsItsAnswer")
{
    write("b", 4'900, "event=upstream-unregistered upstream=u-1 afterOutage=no");
    end("a", 5'000, "end=outcome-unknown status=502 upstream=u-1 outcome=broken trail=u-1:broken:80 tookMs=90 leftMs=900");
    CHECK((explanation().cause == RequestCause::UpstreamAnswerBroken));
}

TEST_CASE_FIXTURE(LogFixture, "timeout_deadlineShorterThanAnyAnswerOfTheRoute_causeIsTooLittleTime")
{
    write("b", 1'000, "event=request request=r-0 end=answered status=200 route=reads tookMs=110");
    end("a", 5'000, "end=deadline-sent status=504 upstream=u-1 outcome=silent loadPercent=25 tookMs=61 leftMs=0");
    CHECK((explanation().cause == RequestCause::TooLittleTime));
}

TEST_CASE_FIXTURE(LogFixture, "timeout_deadlineLongEnough_causeIsTheUpstream")
{
    write("b", 1'000, "event=request request=r-0 end=answered status=200 route=reads tookMs=110");
    SUBCASE("busy")
    {
        end("a", 5'000, "end=deadline-sent status=504 upstream=u-1 outcome=silent loadPercent=250 tookMs=900 leftMs=0");
        CHECK((explanation().cause == RequestCause::UpstreamBusy));
    }
    SUBCASE("idle")
    {
        end("a", 5'000, "end=deadline-sent status=504 upstream=u-1 outcome=silent loadPercent=25 tookMs=900 leftMs=0");
        CHECK((explanation().cause == RequestCause::UpstreamSilent));
    }
    SUBCASE("connections time out")
    {
        // The upstream's host is powered off, so that connections time out instead of being reset.
        end("a", 5'000, "end=deadline-sent status=504 upstream=u-1 outcome=silent loadPercent=25 tookMs=900 leftMs=0");
        write("a", 4'800, "event=upstream-standing upstream=u-1 service=catalogue before=sound after=probation outcome=connect-timeout");
        CHECK((explanation().cause == RequestCause::UpstreamWentAway));
    }
    SUBCASE("other requests waited too")
    {
        end("a", 5'000, "end=deadline-sent status=504 upstream=u-1 outcome=silent loadPercent=25 tookMs=900 leftMs=0");
        write("c", 5'600, "event=request request=r-7 end=answered status=200 route=reads upstream=u-1 outcome=answered tookMs=700");
        CHECK((explanation().cause == RequestCause::UpstreamBusy));
    }
    SUBCASE("on probation after a timeout")
    {
        end("a", 5'000, "end=deadline-sent status=504 upstream=u-1 outcome=silent loadPercent=25 tookMs=900 leftMs=0");
        write("a", 5'100, "event=upstream-standing upstream=u-1 service=catalogue before=sound after=probation outcome=silent");
        CHECK((explanation().cause == RequestCause::UpstreamHangs));
    }
}

TEST_CASE_FIXTURE(LogFixture, "rejection_noFreeUpstream_distinguishesFullServiceFromUnavailableKey")
{
    SUBCASE("full")
    {
        end("a", 5'000, "end=no-room status=503 upstream=\"\" outcome=none loadPercent=340");
        CHECK((explanation().cause == RequestCause::ServiceFull));
    }
    SUBCASE("free capacity elsewhere")
    {
        end("a", 5'000, "end=no-room status=503 upstream=\"\" outcome=none loadPercent=53");
        CHECK((explanation().cause == RequestCause::KeyUpstreamsUnavailable));
    }
    SUBCASE("free capacity at upstreams that asked for a pause or state a limit")
    {
        write("a", 4'000, "event=upstream-pause upstream=u-9 service=catalogue pauseMs=2000");
        end("a", 5'000, "end=no-room status=503 upstream=\"\" outcome=none loadPercent=53 heldBack=0 pausing=2 service=catalogue");
        CHECK((explanation().cause == RequestCause::UpstreamsHoldBack));
        CHECK(explanation().related.size() == 1);
    }
}

TEST_CASE_FIXTURE(LogFixture, "callerDisconnects_atItsDeadlineOrEarlier_causeIsUpstreamOrCaller")
{
    SUBCASE("at its deadline")
    {
        end("a", 5'000, "end=caller-gone status=503 upstream=u-1 outcome=abandoned loadPercent=53 tookMs=1176 leftMs=1");
        CHECK((explanation().cause == RequestCause::UpstreamSilent));
    }
    SUBCASE("earlier")
    {
        end("a", 5'000, "end=caller-gone status=503 upstream=u-1 outcome=abandoned loadPercent=53 tookMs=176 leftMs=900");
        CHECK((explanation().cause == RequestCause::CallerLeft));
    }
}

TEST_CASE_FIXTURE(LogFixture, "request_inNoLog_isReportedAsNotLogged")
{
    write("a", 1'000, "event=request request=r-2 end=answered status=200");
    CHECK((explanation().cause == RequestCause::NotLogged));
    CHECK(explanation().ends.empty());
}

TEST_CASE_FIXTURE(LogFixture, "timeline_ofAnUpstream_hasLinesOfAllVmsUpToTheLimit")
{
    write("a", 1'000, "event=upstream-registered upstream=u-1 revision=4");
    write("b", 2'000, "event=request request=r-9 trail=u-3:broken:5,u-1:answered:80");
    write("b", 3'000, "event=upstream-unregistered upstream=u-1");
    write("b", 4'000, "event=upstream-unregistered upstream=u-3");
    const Subject subject{SubjectKind::Upstream, "u-1"};
    CHECK(timelineOf(set.lines, subject, 0).size() == 3);
    const auto last = timelineOf(set.lines, subject, 1);
    REQUIRE(last.size() == 1);
    CHECK(last[0].event == "upstream-unregistered");
}
