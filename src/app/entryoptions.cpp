#include "entryoptions.h"

#include "daemonsettings.h"

namespace Wasabistair::App {

namespace {

using Base::SettingType;

Base::SettingSpec integer(std::string name, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum, std::string help)
{
    return {std::move(name), SettingType::Integer, std::to_string(defaultValue), std::move(help), minimum, maximum};
}

bool parsePlacement(const std::string &text, Steering::PlacementMode &result)
{
    if (text != "auto" && text != "on" && text != "off") {
        return false;
    }
    result = text == "auto" ? Steering::PlacementMode::Auto : text == "on" ? Steering::PlacementMode::On : Steering::PlacementMode::Off;
    return true;
}

} // namespace

std::vector<Base::SettingSpec> entryOptionSpecs()
{
    const EntryOptions defaults;
    return {integer("lookup-age-ms", defaults.lookupAgeMs, 100, 60'000,
                "Time for which callers may cache a look-up answer, in ms; a stop lasts at least three times as long, within the grace period."),
        integer("peer-silence-ms", defaults.peerSilenceMs, 1'000, 60'000,
            "Time without a heartbeat after which another VM counts as dead, in ms; heartbeats are sent every second."),
        integer("max-connections", defaults.maxConnections, 1, 20'000, "Caller connections served at the same time; each uses one thread."),
        integer("body-memory-percent", defaults.bodyMemoryPercent, 1, 90, "Percentage of the VM's memory for bodies of requests and answers."),
        {"admission", SettingType::Text, "auto",
            "Order in which requests wait when upstreams are full: by what a delay costs callers (on), none (off), or on where the configuration has teams or "
            "upstreams report their pace (auto).",
            0, 0},
        {"placement", SettingType::Text, "off",
            "Choice of upstreams by expected finish, with keys placed by zone: auto (services whose upstreams state their pace), on or off.", 0, 0},
        {"log-level", SettingType::Text, "info", "debug, info, warning or error.", 0, 0},
        {"print-settings", SettingType::Flag, "false", "Print all settings and exit.", 0, 0}};
}

std::vector<Base::SettingFault> readEntryOptions(const Base::Settings &settings, EntryOptions &result)
{
    result.lookupAgeMs = settings.integer("lookup-age-ms");
    result.peerSilenceMs = settings.integer("peer-silence-ms");
    result.maxConnections = static_cast<int>(settings.integer("max-connections"));
    result.bodyMemoryPercent = static_cast<int>(settings.integer("body-memory-percent"));
    if (!Steering::parseAdmissionMode(settings.text("admission"), result.admission)) {
        return {{Base::SettingFaultKind::OutOfRange, "admission", settings.text("admission")}};
    }
    if (!parsePlacement(settings.text("placement"), result.placement)) {
        return {{Base::SettingFaultKind::OutOfRange, "placement", settings.text("placement")}};
    }
    if (!parseLogLevel(settings.text("log-level"), result.logLevel)) {
        return {{Base::SettingFaultKind::OutOfRange, "log-level", settings.text("log-level")}};
    }
    return {};
}

} // namespace Wasabistair::App
