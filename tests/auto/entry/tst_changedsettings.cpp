#include "entryfixture.h"

#include <standins/platformobjects.h>

#include <doctest/doctest.h>

#include <csignal>
#include <thread>

using namespace Wasabistair;
using namespace Wasabistair::Tests;
using Json = nlohmann::json;

namespace {

// The settings of the fixture have 6 s.
constexpr int shorterGraceMs = 3'000;

struct ChangedSettingsFixture: EntryFixture {
    void shortenGracePeriod()
    {
        changeSettings("grace-s=6", "grace-s=3");
    }

    /// Whether the VM exits within the shorter grace period after SIGTERM, by itself.
    bool stopsWithinTheShorterGracePeriod()
    {
        vm->signal(SIGTERM);
        return vm->waitFor(shorterGraceMs) == 0;
    }
};

} // namespace

TEST_CASE_FIXTURE(ChangedSettingsFixture, "settings_gracePeriodIsShortenedWithASignal_stopKeepsToIt")
{
    // Guards against a VM that goes by the settings of its start and is killed in the middle of its stop.
    shortenGracePeriod();
    vm->signal(SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    CHECK(stopsWithinTheShorterGracePeriod());
}

TEST_CASE_FIXTURE(ChangedSettingsFixture, "settings_gracePeriodIsShortenedRightBeforeTheStop_stopKeepsToIt")
{
    shortenGracePeriod();
    CHECK(stopsWithinTheShorterGracePeriod());
}

TEST_CASE_FIXTURE(ChangedSettingsFixture, "settings_areUnreadableBeforeTheStop_stopKeepsToTheLastOnes")
{
    shortenGracePeriod();
    vm->signal(SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    changeSettings("node-name", "node-name = [");
    CHECK(stopsWithinTheShorterGracePeriod());
}

TEST_CASE_FIXTURE(ChangedSettingsFixture, "settings_lookUpAgeIsShortened_answersStateIt")
{
    REQUIRE(lookup().body.find("\"ttl-s\":0.5") == std::string::npos);
    changeSettings("bounds = [", R"(bounds = ["ttl_max_s=0.5",)");
    vm->signal(SIGHUP);
    CHECK(eventually([this] { return lookup().body.find("\"ttl-s\":0.5") != std::string::npos; }));
}

TEST_CASE_FIXTURE(ChangedSettingsFixture, "settings_strictRevocationIsTurnedOn_appliesToRequests")
{
    Json manifest = StandIns::manifestObject(2, {{"safe", StandIns::routeObject("/safe/", "safe", 1'500, 2)}});
    manifest["tenants"] = {{"alpha", {{"api-keys", {"key"}}}}};
    store.put("config", "main", manifest);
    const auto status = [this] { return send("GET", "/safe/x", "", "Authorization: Bearer key\r\n").status; };
    REQUIRE(eventually([this] { return get("/safe/x").status == 401; }));
    changeSettings("bounds = [", R"(bounds = ["strict-revoke=true","revoke-ms=1000",)");
    vm->signal(SIGHUP);
    CHECK(eventually([&] { return status() == 200; }));
    store.setFaults({.busy = true});
    CHECK(eventually([&] { return status() == 503; }));
}
