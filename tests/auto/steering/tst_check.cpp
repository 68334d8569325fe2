#include <doctest/doctest.h>

#include <steering/capacity.h>
#include <steering/check.h>

#include <rapidcheck.h>

#include <algorithm>

using namespace Wasabistair::Steering;

namespace {

struct CheckFixture {
    CheckFixture()
    {
        Service service;
        service.name = "orders";
        service.hosts = {"orders.test"};
        service.pathPrefix = "/";
        service.requiredSlots = 8;
        set.services = {service};
        set.places = {{"east", "orders", "r0", {"r0-a", "r0-b"}, 4, 2, 0, 400, 75, 0}, {"west", "orders", "r1", {"r1-a", "r1-b"}, 4, 2, 0, 400, 75, 0}};
        set.sites = {{"s0", "r0", {"r0-a"}}};
        set.links = {{"r0-r1", {"r0", "r1"}, 4'000, 20, 50}};
        set.fleets = {{"fleet", {{"r0", 2}, {"r1", 2}}}};
        set.clientBlocks = {{0x0a000000, 8, "s0"}};
    }

    bool hasFault(ValidationErrorKind kind, const std::string &object)
    {
        const auto faults = checkObjects(set);
        return std::any_of(faults.begin(), faults.end(), [&](const ValidationError &fault) { return fault.kind == kind && fault.object == object; });
    }

    static Shift shift(const std::string &name, const std::string &from, const std::string &to)
    {
        return {name, "orders", from, to, 100, 0, 0, 1'000, 9'000, true};
    }

    ObjectSet set;
};

} // namespace

TEST_CASE_FIXTURE(CheckFixture, "check_validSet_hasNoErrors")
{
    CHECK(checkObjects(set).empty());
}

TEST_CASE_FIXTURE(CheckFixture, "check_twoStops_areReportedOnlyWhenTheyOverlap")
{
    set.plannedStops = {{"one", "east", "", "", 1'000, 2'000}, {"two", "west", "r1-a", "", 2'000, 3'000}};
    CHECK(checkObjects(set).empty());
    set.plannedStops[1].start = 1'999;
    CHECK(hasFault(ValidationErrorKind::NotEnoughCapacity, "Service/orders"));
}

TEST_CASE_FIXTURE(CheckFixture, "check_missingReferences_areAllReportedWithASuggestion")
{
    set.places[0].service = "order";
    set.places[1].region = "r9";
    set.clientBlocks[0].site = "s1";
    const auto faults = checkObjects(set);
    CHECK(hasFault(ValidationErrorKind::MissingReference, "Place/east"));
    CHECK(hasFault(ValidationErrorKind::MissingReference, "Place/west"));
    CHECK(hasFault(ValidationErrorKind::MissingReference, "Clients/10.0.0.0/8"));
    const auto misspelled = std::find_if(faults.begin(), faults.end(), [](const ValidationError &fault) { return fault.object == "Place/east"; });
    CHECK(misspelled->hint == "did you mean orders?");
}

TEST_CASE_FIXTURE(CheckFixture, "check_conflictingShifts_areReported")
{
    set.shifts = {shift("a", "east", "west"), shift("b", "west", "east")};
    CHECK(hasFault(ValidationErrorKind::Cycle, "Shift/b"));
    set.shifts = {shift("a", "east", "west"), shift("b", "east", "west")};
    CHECK(hasFault(ValidationErrorKind::Conflict, "Shift/b"));
    set.shifts = {shift("a", "east", "east")};
    CHECK(hasFault(ValidationErrorKind::Cycle, "Shift/a"));
    set.shifts = {shift("a", "east", "west")};
    set.shifts[0].capRequestsPerSecond = 5;
    CHECK(hasFault(ValidationErrorKind::Conflict, "Shift/a"));
    set.shifts = {shift("a", "east", "west")};
    set.plannedStops = {{"stop", "west", "", "", 8'999, 10'000}};
    CHECK(hasFault(ValidationErrorKind::Conflict, "Shift/a"));
    set.plannedStops[0].start = 9'000;
    CHECK(checkObjects(set).empty());
}

TEST_CASE_FIXTURE(CheckFixture, "check_duplicateNamesAndRoutes_areReported")
{
    set.services.push_back(set.services[0]);
    CHECK(hasFault(ValidationErrorKind::DuplicateName, "Service/orders"));
    CHECK(hasFault(ValidationErrorKind::Conflict, "Service/orders"));
    set.services.pop_back();
    set.clientBlocks.push_back(set.clientBlocks[0]);
    CHECK(hasFault(ValidationErrorKind::DuplicateName, "Clients/10.0.0.0/8"));
}

TEST_CASE("schema_invalidFields_areAllReported")
{
    nlohmann::json object = {{"kind", "Place"}, {"name", "Bad Name"}, {"servce", "x"}, {"slotsPerServer", 0}, {"zones", "a"}, {"servers", "four"}};
    std::vector<ValidationError> faults;
    checkSchema(object, faults);
    const auto has = [&](ValidationErrorKind kind, const std::string &field) {
        return std::any_of(faults.begin(), faults.end(), [&](const ValidationError &fault) { return fault.kind == kind && fault.field == field; });
    };
    CHECK(has(ValidationErrorKind::BadName, "name"));
    CHECK(has(ValidationErrorKind::UnknownField, "servce"));
    CHECK(has(ValidationErrorKind::MissingField, "service"));
    CHECK(has(ValidationErrorKind::OutOfRange, "slotsPerServer"));
    CHECK(has(ValidationErrorKind::WrongType, "zones"));
    CHECK(has(ValidationErrorKind::WrongType, "servers"));
    const auto unknown = std::find_if(faults.begin(), faults.end(), [](const ValidationError &fault) { return fault.field == "servce"; });
    CHECK(unknown->hint == "did you mean service?");
}

TEST_CASE("capacityOverTime_randomStops_neverExceedsCountByServer")
{
    CHECK(rc::check([] {
        ObjectSet set;
        set.services.resize(1);
        set.services[0].name = "s";
        const std::int64_t servers = *rc::gen::inRange<std::int64_t>(2, 12);
        set.places = {{"p", "s", "r", {"z0", "z1"}, servers, 3, 0, 400, 75, 0}};
        const int stops = *rc::gen::inRange(0, 5);
        for (int i = 0; i < stops; ++i) {
            PlannedStop stop{"stop" + std::to_string(i), "p", "", "", *rc::gen::inRange(1, 50), 0};
            stop.end = stop.start + *rc::gen::inRange(1, 50);
            const int kind = *rc::gen::inRange(0, 6);
            if (kind < 3) {
                stop.zone = *rc::gen::element<std::string>("z0", "z1");
            } else if (kind < 5) {
                stop.server = "server" + std::to_string(*rc::gen::inRange<std::int64_t>(0, servers));
            }
            set.plannedStops.push_back(stop);
        }
        for (const CapacityPoint &point : capacityOverTime(set)) {
            // Reference model: counts each server by itself; servers alternate between the two zones.
            std::int64_t usable = 0;
            for (std::int64_t server = 0; server < servers; ++server) {
                const std::string zone = server % 2 == 0 ? "z0" : "z1";
                const bool stopped = std::any_of(set.plannedStops.begin(), set.plannedStops.end(), [&](const PlannedStop &stop) {
                    const bool applies = (stop.zone.empty() || stop.zone == zone) && (stop.server.empty() || stop.server == "server" + std::to_string(server));
                    return applies && point.time >= stop.start && point.time < stop.end;
                });
                usable += stopped ? 0 : 3;
            }
            RC_ASSERT(point.slots <= usable);
            RC_ASSERT(point.slots == usable || !point.stops.empty());
        }
    }));
}

TEST_CASE("isIdempotent_declarationOverridesMethod_unknownMethodIsNot")
{
    Service service;
    service.operations = {{"POST", "/search", true}, {"PUT", "/payments", false}, {"POST", "/search/orders", false}};
    CHECK(isIdempotent(service, "GET", "/x"));
    CHECK_FALSE(isIdempotent(service, "POST", "/x"));
    CHECK_FALSE(isIdempotent(service, "BREW", "/x"));
    CHECK(isIdempotent(service, "POST", "/search/a"));
    CHECK_FALSE(isIdempotent(service, "POST", "/searching"));
    CHECK_FALSE(isIdempotent(service, "POST", "/search/orders?x=1"));
    CHECK_FALSE(isIdempotent(service, "PUT", "/payments/7"));
}
