#include <doctest/doctest.h>

#include <platform/settingsfile.h>

using namespace Wasabistair;
using namespace Wasabistair::Adapter;

namespace {

const std::string validSettings = R"(
node-name = "vm-1"
ip = "10.1.0.34"
zone = "amman-a"
region = "levant"
inner-port-range = [7540,7555]
something-new = { a = 1 }
bounds = ["grace-s=6","retry-budget-ratio=0.2","retry-budget-slack=58","cold-slack=5","odd"]
[zones]
amman-a = "levant"
dubai-a = "gulf"
[listen]
front = "10.1.0.34:8548"
ready-addr = "10.1.0.34:8542"
directory = "10.1.0.34:8546"
[limits]
cpu-share = 0.2
cores = 1
memory-mb = 260
[platform]
address = "10.200.1.7:8541"
)";

SettingsError errorOf(const std::string &text)
{
    auto result = Base::captureError<SettingsError>([&] { return parseSettings(text, "settings.toml"); }, SettingsError{});
    REQUIRE_FALSE(result);
    return *result.error;
}

std::string without(std::string text, const std::string &part)
{
    return text.replace(text.find(part), part.size(), "");
}

} // namespace

TEST_CASE("settings_validFile_isDecodedAndUnknownFieldsAreIgnored")
{
    auto result = Base::captureError<SettingsError>([&] { return parseSettings(validSettings, "settings.toml"); }, SettingsError{});
    REQUIRE(result);
    const VmSettings &settings = *result.value;
    CHECK(settings.locality.vm == "vm-1");
    CHECK(settings.locality.regionOfZone.at("dubai-a") == "gulf");
    CHECK((settings.callerAddress == Base::HostPort{"10.1.0.34", 8548}));
    CHECK((settings.peerAddress == Base::HostPort{"10.1.0.34", 7540}));
    CHECK((settings.storeAddress == Base::HostPort{"10.200.1.7", 8541}));
    CHECK(settings.bounds.stopGraceMs == 6'000);
    CHECK(settings.bounds.retries.slack == 58);
    CHECK(settings.memoryMb == 260);
}

TEST_CASE("settings_faults_nameFileFieldAndExpectedForm")
{
    CHECK((errorOf(without(validSettings, "zone = \"amman-a\"\n")) == SettingsError{SettingsFailure::Missing, "settings.toml", "zone", "a string"}));
    CHECK((errorOf(without(validSettings, "address = \"10.200.1.7:8541\"")).failure == SettingsFailure::Missing));
    CHECK((errorOf(validSettings + "history-s = [").failure == SettingsFailure::NotToml));
    std::string malformed = validSettings;
    malformed.replace(malformed.find("\"10.1.0.34:8548\""), 16, "\"here\"");
    CHECK((errorOf(malformed) == SettingsError{SettingsFailure::BadValue, "settings.toml", "listen.front", "IP:PORT"}));
    CHECK((errorOf(without(validSettings, "[7540,7555]") + "x=1").failure == SettingsFailure::NotToml));
}

TEST_CASE("settings_missingFile_failsWithCannotRead")
{
    auto result = Base::captureError<SettingsError>([&] { return readSettingsFile("/nowhere/settings.toml"); }, SettingsError{});
    REQUIRE_FALSE(result);
    CHECK((result.error->failure == SettingsFailure::CannotRead));
}
