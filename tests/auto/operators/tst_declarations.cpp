#include <doctest/doctest.h>

#include <operators/declarations.h>
#include <operators/objectdiff.h>
#include <operators/table.h>

#include <Poco/TemporaryFile.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

using namespace Wasabistair;
using namespace Wasabistair::Operators;

namespace {

struct DeclarationsFixture {
    DeclarationsFixture()
        : directory(Poco::TemporaryFile::tempName())
    {
        std::filesystem::create_directory(directory);
    }
    ~DeclarationsFixture()
    {
        std::filesystem::remove_all(directory);
    }

    void write(const std::string &name, const std::string &text) const
    {
        std::ofstream(directory + "/" + name) << text;
    }

    Declarations load() const
    {
        return loadDeclarations(directory);
    }

    static const LocatedFault *find(const Declarations &declarations, Steering::ValidationErrorKind kind, const std::string &object)
    {
        const auto found = std::find_if(declarations.faults.begin(), declarations.faults.end(),
            [&](const LocatedFault &fault) { return fault.fault.kind == kind && fault.fault.object == object; });
        return found == declarations.faults.end() ? nullptr : &*found;
    }

    std::string directory;
};

const char *const validText = R"(kind: Service
name: orders
hosts: [orders.test]
operations:
  - {method: POST, pathPrefix: /search, idempotent: true}
---
kind: Place
name: east
service: orders
region: r0
zones: [r0-a]
servers: 4
slotsPerServer: 2
---
kind: Fleet
name: fleet
regions:
  - {region: r0, vmSlots: 2}
---
kind: Site
name: s0
region: r0
zones: [r0-a]
---
kind: Clients
name: clients
blocks:
  - {prefix: 10.0.0.0/8, site: s0}
file: blocks.csv
)";

} // namespace

TEST_CASE_FIXTURE(DeclarationsFixture, "declarations_valid_areRead")
{
    write("all.yaml", validText);
    write("blocks.csv", "# prefix,site\n11.0.0.0/8,s0\n");
    write("stop.yaml", "kind: PlannedStop\nname: stop\nplace: east\nserver: east-1\nstart: 2026-12-04T10:00:00Z\nend: 2026-12-04T11:00:00.500+01:00\n");
    const Declarations declarations = load();
    for (const LocatedFault &fault : declarations.faults) {
        MESSAGE(toString(fault));
    }
    REQUIRE(declarations.faults.empty());
    CHECK(declarations.objects.clientBlocks.size() == 2);
    CHECK(declarations.objects.services[0].operations.size() == 1);
    CHECK(declarations.objects.services[0].deadlineMs == 10'000);
    CHECK(declarations.objects.plannedStops[0].start == 1'796'378'400'000);
    CHECK(declarations.objects.plannedStops[0].end == 1'796'378'400'500);
}

TEST_CASE_FIXTURE(DeclarationsFixture, "declarations_faultsInSeveralFiles_areAllLocated")
{
    write("all.yaml", validText);
    write("more.yaml", "kind: Place\nname: west\nservise: orders\nregion: r0\nzones: [r0-b]\nservers: none\nslotsPerServer: 2\n---\nkind: Plase\nname: x\n");
    const Declarations declarations = load();
    const LocatedFault *unknown = find(declarations, Steering::ValidationErrorKind::UnknownField, "Place/west");
    REQUIRE(unknown);
    CHECK(unknown->line == 3);
    CHECK(unknown->fault.hint == "did you mean service?");
    const LocatedFault *type = find(declarations, Steering::ValidationErrorKind::WrongType, "Place/west");
    REQUIRE(type);
    CHECK(type->line == 6);
    CHECK(find(declarations, Steering::ValidationErrorKind::MissingField, "Place/west"));
    const LocatedFault *kind = find(declarations, Steering::ValidationErrorKind::UnknownKind, "Plase/x");
    REQUIRE(kind);
    CHECK(kind->fault.hint == "did you mean Place?");
}

TEST_CASE_FIXTURE(DeclarationsFixture, "declarations_badBlocks_areReportedWithFileAndLine")
{
    write("all.yaml", validText);
    write("blocks.csv", "11.0.0.0/8,s0\n12.0.0.1/8,s0\n13.0.0.0/8,s9\n");
    Declarations declarations = load();
    const LocatedFault *prefix = find(declarations, Steering::ValidationErrorKind::BadPrefix, "Clients/12.0.0.1/8");
    REQUIRE(prefix);
    CHECK(prefix->line == 2);
    write("blocks.csv", "11.0.0.0/8,s0\n13.0.0.0/8,s9\n10.0.0.0/8,s0\n");
    declarations = load();
    const LocatedFault *site = find(declarations, Steering::ValidationErrorKind::MissingReference, "Clients/13.0.0.0/8");
    REQUIRE(site);
    CHECK(site->line == 2);
    CHECK(find(declarations, Steering::ValidationErrorKind::DuplicateName, "Clients/10.0.0.0/8"));
}

TEST_CASE_FIXTURE(DeclarationsFixture, "declarations_malformedYaml_isAFaultNotACrash")
{
    for (const std::string text : {"kind: [", "{{{{", "\t- x", "- 1\n- 2\n", "kind: Service\nname: a\nname: b\n", "a: &a [*a]\n", "\xff\xfe"}) {
        write("bad.yaml", text);
        CHECK_FALSE(load().faults.empty());
    }
    write("bad.yaml", std::string(5'000, '['));
    CHECK_FALSE(load().faults.empty());
    CHECK_FALSE(loadDeclarations(directory + "/missing").faults.empty());
}

TEST_CASE("examples_bothDeployments_haveNoFaults")
{
    for (const std::string name : {"agency", "lumira"}) {
        const Declarations declarations = loadDeclarations(std::string(EXAMPLES_DIRECTORY) + "/" + name);
        for (const LocatedFault &fault : declarations.faults) {
            MESSAGE(toString(fault));
        }
        CHECK(declarations.faults.empty());
        CHECK(declarations.objects.services.size() == 3);
        CHECK(declarations.objects.places.size() == 9);
    }
}

TEST_CASE_FIXTURE(DeclarationsFixture, "diff_changedObjects_namesFieldsAndBlocks")
{
    write("all.yaml", validText);
    write("blocks.csv", "11.0.0.0/8,s0\n");
    const Steering::ObjectSet before = load().objects;
    Steering::ObjectSet after = before;
    after.places[0].servers = 5;
    after.clientBlocks.pop_back();
    after.sites.push_back({"s1", "r0", {"r0-b"}});
    const auto changes = diffObjects(before, after);
    REQUIRE(changes.size() == 3);
    CHECK(changes[0] == ObjectChange{ChangeKind::Added, "Site/s1", "", "", ""});
    CHECK(changes[1] == ObjectChange{ChangeKind::Removed, "Clients/11.0.0.0/8", "site", "s0", ""});
    CHECK(changes[2] == ObjectChange{ChangeKind::Changed, "Place/east", "servers", "4", "5"});
    CHECK(diffObjects(before, before).empty());
}

TEST_CASE("table_specialCharacters_areQuotedInCsv")
{
    Table table({"a", "b"});
    table.addRow({"x,y", "say \"hi\""});
    CHECK(table.toCsv() == "a,b\n\"x,y\",\"say \"\"hi\"\"\"\n");
    CHECK(table.toText() == "a    b\nx,y  say \"hi\"\n");
}
