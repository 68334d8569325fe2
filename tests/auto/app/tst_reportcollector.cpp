#include <doctest/doctest.h>

#include <app/reportcollector.h>
#include <standins/memorystore.h>

#include <nlohmann/json.hpp>

using namespace Wasabistair;
using App::ReportCollector;
using Operators::Figures;
using Operators::ReviewObject;
using Operators::VmIncarnation;
using StandIns::ManualClock;
using StandIns::MemoryStore;

namespace {

constexpr std::int64_t intervalMs = 30'000;
constexpr std::int64_t hourMs = 3'600'000;
const std::string group = "zone-a.0";

struct ZoneWriterFixture {
    /// A report by @p vm at the current time, with @p answered requests in the current month.
    Nodes::VmReport report(const std::string &vm, std::uint64_t incarnation, std::uint64_t answered) const
    {
        Figures figures;
        figures.places[{"orders", "east"}].answered = answered;
        figures.asOf = clock.wall();
        return {vm, incarnation, App::encodeReport({{"vm", vm}, {"incarnation", incarnation}}, month(), figures)};
    }

    std::string month() const
    {
        return Operators::monthOf(clock.wall());
    }

    ReviewObject review()
    {
        const auto value = Platform::tryStore([&] { return store.get(Operators::reviewKey(month(), group)); });
        return value ? Operators::decodeReview(value.value->value).value_or(ReviewObject{}) : ReviewObject{};
    }

    std::uint64_t answered()
    {
        return review().total().places[{"orders", "east"}].answered;
    }

    std::size_t vmsInStatus()
    {
        const auto value = Platform::tryStore([&] { return store.get(App::statusKey(group)); });
        return value ? nlohmann::json::parse(value.value->value).at("vms").size() : 0;
    }

    MemoryStore store;
    ManualClock clock;
    ReportCollector one{store, clock, group, "one", 1};
    ReportCollector two{store, clock, group, "two", 1};
};

} // namespace

TEST_CASE_FIXTURE(ZoneWriterFixture, "reportCollector_repeatedReportsAndLostAnswers_countOnce")
{
    for (int i = 1; i <= 10; ++i) {
        one.receive(report("a", 1, static_cast<std::uint64_t>(i) * 100));
        one.receive(report("b", 1, static_cast<std::uint64_t>(i) * 10));
        store.loseAnswers = i % 3;
        one.flush(true);
        one.flush(true);
        clock.advance(intervalMs);
    }
    store.loseAnswers = 0;
    one.flush(true);
    CHECK(answered() == 1'100);
    CHECK(vmsInStatus() == 2);
}

TEST_CASE_FIXTURE(ZoneWriterFixture, "reportCollector_collectorPausedForTenMinutes_takesNoFigureBack")
{
    one.receive(report("a", 1, 100));
    one.flush(true);
    // The process of "one" is paused for ten minutes. "two" takes over and collects the last report of "a", which is then killed.
    two.flush(true);
    clock.advance(10 * 60'000);
    two.receive(report("a", 1, 900));
    two.flush(true);
    CHECK(answered() == 900);
    one.flush(true);
    clock.advance(intervalMs);
    one.flush(true);
    CHECK(answered() == 900);
}

TEST_CASE_FIXTURE(ZoneWriterFixture, "reportCollector_pausedHolder_doesNotOverwriteItsSuccessorsStatus")
{
    one.receive(report("a", 1, 1));
    one.flush(true);
    two.flush(true);
    clock.advance(60'000);
    two.receive(report("a", 1, 1));
    two.receive(report("b", 1, 1));
    two.flush(true);
    CHECK(vmsInStatus() == 2);
    // The successor holds the lease; the paused holder finds out when it refreshes its own.
    one.receive(report("a", 1, 2));
    one.flush(true);
    CHECK(vmsInStatus() == 2);
}

TEST_CASE_FIXTURE(ZoneWriterFixture, "reportCollector_restartedVm_foldsItsFormerIncarnationOnce")
{
    one.receive(report("a", 1, 100));
    one.flush(true);
    clock.advance(2 * hourMs);
    for (int i = 0; i < 3; ++i) {
        one.receive(report("a", 2, 7));
        one.flush(true);
        clock.advance(intervalMs);
    }
    CHECK(review().live.size() == 1);
    CHECK(review().retiredSources.contains(VmIncarnation{"a", 1}));
    CHECK(answered() == 107);
    // A late report of the former incarnation is ignored.
    one.receive(report("a", 1, 100));
    one.flush(true);
    CHECK(answered() == 107);
}

TEST_CASE_FIXTURE(ZoneWriterFixture, "reportCollector_fleetReplacedEveryDay_keepsTheObjectSmall")
{
    // A group of 34 VMs, half of a zone of 68. All are replaced under new ids every day for ten days.
    for (int day = 0; day < 10; ++day) {
        for (int vm = 0; vm < 34; ++vm) {
            one.receive(report("vm" + std::to_string(day) + "-" + std::to_string(vm), 1, 5));
        }
        one.flush(true);
        clock.advance(25 * hourMs);
    }
    one.flush(true);
    CHECK(review().live.size() <= 34);
    CHECK(answered() == 10 * 34 * 5);
}

TEST_CASE_FIXTURE(ZoneWriterFixture, "reportCollector_notEligibleAnyLonger_leavesTheLeaseToTheNext")
{
    one.receive(report("a", 1, 1));
    one.flush(true);
    two.receive(report("a", 1, 2));
    two.flush(true);
    CHECK(answered() == 1);
    one.flush(false);
    two.flush(true);
    CHECK(answered() == 2);
}

TEST_CASE_FIXTURE(ZoneWriterFixture, "reportCollector_malformedReports_areIgnored")
{
    one.receive({"a", 1, "not deflated"});
    one.receive({"a", 1, ""});
    one.receive({"a", 1, App::encodeReport({}, month(), Figures{}).substr(0, 10)});
    one.receive(report("b", 1, 3));
    one.flush(true);
    CHECK(answered() == 3);
    CHECK(vmsInStatus() == 1);
}
