#include "entryoptions.h"

#include "daemonsettings.h"

namespace Wasabistair::App {

namespace {

using Base::SettingType;

Base::SettingSpec integer(std::string name, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum, std::string help)
{
    return {std::move(name), SettingType::Integer, std::to_string(defaultValue), std::move(help), minimum, maximum};
}

} // namespace

std::vector<Base::SettingSpec> entryOptionSpecs()
{
    const EntryOptions defaults;
    return {integer("lookup-age-ms", defaults.lookupAgeMs, 100, 60'000,
                "How long callers may keep a look-up's answer, in ms; three times that must pass before a stop ends."),
        integer(
            "peer-silence-ms", defaults.peerSilenceMs, 1'000, 60'000, "Silence after which another VM counts as dead, in ms; signs of life come every second."),
        integer("max-connections", defaults.maxConnections, 1, 20'000, "Callers' connections served at once; each takes a thread."),
        integer("body-memory-percent", defaults.bodyMemoryPercent, 1, 90, "Part of the VM's memory for bodies of requests and answers, in percent."),
        {"log-level", SettingType::Text, "info", "debug, info, warning or error.", 0, 0},
        {"print-settings", SettingType::Flag, "false", "Print all settings and end.", 0, 0}};
}

std::vector<Base::SettingFault> readEntryOptions(const Base::Settings &settings, EntryOptions &result)
{
    result.lookupAgeMs = settings.integer("lookup-age-ms");
    result.peerSilenceMs = settings.integer("peer-silence-ms");
    result.maxConnections = static_cast<int>(settings.integer("max-connections"));
    result.bodyMemoryPercent = static_cast<int>(settings.integer("body-memory-percent"));
    if (!parseLogLevel(settings.text("log-level"), result.logLevel)) {
        return {{Base::SettingFaultKind::OutOfRange, "log-level", settings.text("log-level")}};
    }
    return {};
}

} // namespace Wasabistair::App
