#include "entryfixture.h"

#include <standins/platformobjects.h>

#include <doctest/doctest.h>

#include <string>

using namespace Wasabistair;
using namespace Wasabistair::Tests;

namespace {

bool firstGetsRequests(EntryFixture &fixture)
{
    const std::size_t before = fixture.first.received().size();
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.send("GET", "/safe/x", "", "X-Affinity-Key: " + std::to_string(i) + "\r\n").status == 200);
    }
    return fixture.first.received().size() > before;
}

} // namespace

TEST_CASE_FIXTURE(EntryFixture, "vm_registryHasEntriesThatCantBeRead_staysUpFollowsTheOthersAndStartsAgain")
{
    // Guards against one entry of another writer that ends the processes of all VMs, or stops them from following the registry.
    const std::string nested = std::string(400'000, '[') + std::string(400'000, ']');
    store.putRaw("servers", "x-nested", R"({"address":"127.0.0.1:1","info":)" + nested + "}");
    store.putRaw("servers", "x-not-utf8", "{\"address\":\"\xff\"}");
    store.putRaw("servers", "x-number", R"({"address":"127.0.0.1:1","info":{"slots":1e400}})");
    auto wrongPort = StandIns::sampleUpstream();
    wrongPort["address"] = "127.0.0.1:65536";
    store.put("servers", "x-port", wrongPort);
    store.putRaw("evacuations", "x-nested", nested);
    store.putRaw("config", "x-nested", nested);
    store.putRaw("wasabistair-vms", "x-nested", nested);
    store.putRaw("wasabistair-vms", "x-port", R"({"zone":"a","region":"north","ip":"no address","callerPort":70000,"peerPort":-1,"incarnation":1})");
    registerUpstreams("draining");
    CHECK(eventually([&] { return !firstGetsRequests(*this); }));
    CHECK(vm->isRunning());
    killAndRestartVm();
    CHECK(get("/safe/x").status == 200);
    CHECK_FALSE(firstGetsRequests(*this));
}

TEST_CASE_FIXTURE(EntryFixture, "vm_entriesOfAllKindsWereCutShort_followsTheOthersAndStartsAgain")
{
    // Guards against an entry of another writer that was cut short: it hid the whole registry, and a VM that started never became ready.
    for (const char *kind : {"servers", "evacuations", "config", "wasabistair-vms"}) {
        CAPTURE(kind);
        for (const char *name : {"0-cut", "zz-cut"}) {
            store.putRaw(kind, name, R"({"address":"127.0.0.1:9","info":{"service":"svc","zone":"a")");
        }
    }
    registerUpstreams("draining");
    CHECK(eventually([&] { return !firstGetsRequests(*this); }));
    killAndRestartVm();
    CHECK(get("/safe/x").status == 200);
    CHECK_FALSE(firstGetsRequests(*this));
}
