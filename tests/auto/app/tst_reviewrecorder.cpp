#include <doctest/doctest.h>

#include <app/reportcollector.h>
#include <app/reviewrecorder.h>
#include <standins/memorystore.h>

#include <nlohmann/json.hpp>

using namespace Wasabistair;
using App::MonthFigures;
using App::ReviewRecorder;
using Callers::RequestOutcome;
using StandIns::ManualClock;
using StandIns::MemoryStore;

namespace {

constexpr std::int64_t dayMs = 24 * 3'600'000;

struct RecorderFixture {
    RecorderFixture()
    {
        // Advances the clock to the last second of the month.
        const std::string month = Operators::monthOf(clock.wall());
        while (Operators::monthOf(clock.wall() + dayMs) == month) {
            clock.advance(dayMs);
        }
        while (Operators::monthOf(clock.wall() + 1'000) == month) {
            clock.advance(1'000);
        }
    }

    void answer(int count)
    {
        for (int i = 0; i < count; ++i) {
            recorder.record("orders", "east", RequestOutcome::Answered, 1'000);
        }
    }

    static std::uint64_t answered(const MonthFigures &month)
    {
        const auto found = month.figures.places.find({"orders", "east"});
        return found == month.figures.places.end() ? 0 : found->second.answered;
    }

    ManualClock clock;
    ReviewRecorder recorder{clock};
};

Steering::RoutingTable tableWithStop(Steering::WallMs start, std::shared_ptr<Steering::ServerLoad> load)
{
    Steering::ServerEntry server;
    server.stops = {{"renew-racks", start, Steering::noEnd}};
    server.load = std::move(load);
    Steering::PlaceEntry place;
    place.servers = {server};
    Steering::RoutingTable table;
    table.places = {place};
    return table;
}

} // namespace

TEST_CASE_FIXTURE(RecorderFixture, "reviewRecorder_monthEnds_keepsTheFinishedMonthForAWhile")
{
    answer(3);
    const std::vector<MonthFigures> before = recorder.figures();
    REQUIRE(before.size() == 1);
    // These requests are answered after the last report of the month.
    answer(4);
    clock.advance(2'000);
    const std::vector<MonthFigures> after = recorder.figures();
    REQUIRE(after.size() == 2);
    CHECK(answered(after[0]) == 0);
    CHECK(after[0].month != before[0].month);
    CHECK(answered(after[1]) == 7);
    CHECK(after[1].month == before[0].month);
    answer(2);
    CHECK(answered(recorder.figures()[0]) == 2);
    CHECK(recorder.figures()[1] == after[1]);
    clock.advance(ReviewRecorder::finishedMonthRetentionMs);
    CHECK(recorder.figures().size() == 1);
}

TEST_CASE_FIXTURE(RecorderFixture, "reviewRecorder_clockSetBack_reportsStayInOrder")
{
    const std::int64_t before = recorder.figures().front().figures.asOf;
    clock.stepWallClock(-3'600'000);
    CHECK(recorder.figures().front().figures.asOf > before);
}

TEST_CASE_FIXTURE(RecorderFixture, "reviewRecorder_lostReportAtTheMonthsEnd_losesNothingOfEitherMonth")
{
    MemoryStore store;
    App::ReportCollector writer(store, clock, "zone-a.0", "one", 1);
    const std::string oldMonth = Operators::monthOf(clock.wall());
    const auto send = [&] {
        for (const MonthFigures &month : recorder.figures()) {
            writer.receive({"a", 1, App::encodeReport({{"vm", "a"}}, month.month, month.figures)});
        }
        writer.flush(true);
    };
    answer(5);
    send();
    answer(6);
    clock.advance(2'000);
    // The first report after the end of the month is lost.
    static_cast<void>(recorder.figures());
    answer(1);
    clock.advance(30'000);
    send();
    const auto total = [&](const std::string &month) {
        const auto value = Platform::tryStore([&] { return store.get(Operators::reviewKey(month, "zone-a.0")); });
        REQUIRE(value);
        return Operators::decodeReview(value.value->value).value().total().places[{"orders", "east"}].answered;
    };
    CHECK(total(oldMonth) == 11);
    CHECK(total(Operators::monthOf(clock.wall())) == 1);
}

TEST_CASE_FIXTURE(RecorderFixture, "reviewRecorder_plannedStop_startsOnceAndDrainsWhenNothingIsInFlight")
{
    const auto load = std::make_shared<Steering::ServerLoad>();
    REQUIRE(load->tryAcquire(1));
    const Steering::RoutingTable table = tableWithStop(clock.wall() + 1'000, load);
    CHECK(recorder.updatePlannedStops(table).started.empty());
    clock.advance(1'000);
    CHECK(recorder.updatePlannedStops(table).started == std::vector<std::string>{"renew-racks"});
    clock.advance(500);
    App::PlannedStopChanges changes = recorder.updatePlannedStops(table);
    CHECK(changes.started.empty());
    CHECK(changes.drained.empty());
    load->release();
    changes = recorder.updatePlannedStops(table);
    CHECK(changes.drained == std::vector<std::string>{"renew-racks"});
    CHECK(recorder.updatePlannedStops(table).drained.empty());
}
