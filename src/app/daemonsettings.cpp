#include "daemonsettings.h"

#include <Poco/StringTokenizer.h>

namespace Wasabistair::App {

namespace {

using Base::SettingFault;
using Base::SettingFaultKind;
using Base::SettingSpec;
using Base::SettingType;

constexpr std::int64_t hourMs = 3'600'000;

SettingSpec text(std::string name, std::optional<std::string> defaultValue, std::string help)
{
    return {std::move(name), SettingType::Text, std::move(defaultValue), std::move(help), 0, 0};
}

SettingSpec address(std::string name, std::string help)
{
    return {std::move(name), SettingType::Address, std::nullopt, std::move(help), 0, 0};
}

SettingSpec integer(std::string name, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum, std::string help)
{
    return {std::move(name), SettingType::Integer, std::to_string(defaultValue), std::move(help), minimum, maximum};
}

SettingSpec flag(std::string name, std::string help)
{
    return {std::move(name), SettingType::Flag, "false", std::move(help), 0, 0};
}

} // namespace

bool parseLogLevel(const std::string &text, Base::LogLevel &level)
{
    if (text == "debug") {
        level = Base::LogLevel::Debug;
    } else if (text == "info") {
        level = Base::LogLevel::Info;
    } else if (text == "warning") {
        level = Base::LogLevel::Warning;
    } else if (text == "error") {
        level = Base::LogLevel::Error;
    } else {
        return false;
    }
    return true;
}

std::vector<SettingSpec> daemonSettingSpecs()
{
    return {text("vm", std::nullopt, "Id of this VM in the platform's list of VMs."), text("region", std::nullopt, "Region of this VM."),
        text("zone", std::nullopt, "Availability zone of this VM."), address("caller-address", "IP:PORT on which callers connect."),
        address("node-address", "IP:PORT on which other entry VMs connect."), address("platform", "IP:PORT of the platform's object API."),
        text("seeds", "", "IP:PORT,… node addresses of other entry VMs, used to start while the platform is unreachable."),
        integer("platform-timeout-ms", 2'000, 100, 60'000, "Timeout for calls to the platform, in ms."),
        integer("max-connections", 1'000, 1, 20'000, "Caller connections served at the same time."),
        integer("max-header-bytes", 32 << 10, 1 << 10, 1 << 20, "Maximum size of a request's header, in bytes; at most 100 fields of 8192 bytes each."),
        integer("header-timeout-ms", 5'000, 100, hourMs, "Timeout for receiving a request's header, in ms."),
        integer("idle-timeout-ms", 60'000, 100, hourMs, "Idle timeout of a caller connection, in ms."),
        integer("body-timeout-ms", 120'000, 100, hourMs, "Timeout for receiving a request's body, in ms."),
        integer("buffer-bytes", 96 << 20, 1 << 16, std::int64_t{1} << 40, "Memory for buffered request bodies, in bytes."),
        integer("report-interval-ms", 30'000, 200, hourMs, "Interval of reports for the zone's status and review objects, in ms."),
        flag("trust-client-parameter", "Let look-ups give the caller's address with ?client=."), text("log-level", "info", "debug, info, warning or error."),
        flag("print-settings", "Print all settings and exit.")};
}

std::vector<SettingFault> readDaemonSettings(const Base::Settings &settings, DaemonSettings &result)
{
    std::vector<SettingFault> faults;
    result.vm = settings.text("vm");
    result.region = settings.text("region");
    result.zone = settings.text("zone");
    result.callerAddress = Base::parseHostPort(settings.text("caller-address")).value_or(Base::HostPort{});
    result.nodeAddress = Base::parseHostPort(settings.text("node-address")).value_or(Base::HostPort{});
    result.platform = Base::parseHostPort(settings.text("platform")).value_or(Base::HostPort{});
    const Poco::StringTokenizer seeds(settings.text("seeds"), ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    for (const std::string &seed : seeds) {
        if (const auto parsed = Base::parseHostPort(seed)) {
            result.seeds.push_back(*parsed);
        } else {
            faults.push_back({SettingFaultKind::NotAnAddress, "seeds", seed});
        }
    }
    result.platformTimeoutMs = static_cast<int>(settings.integer("platform-timeout-ms"));
    result.maxConnections = static_cast<int>(settings.integer("max-connections"));
    result.maxHeaderBytes = settings.integer("max-header-bytes");
    result.headerTimeoutMs = settings.integer("header-timeout-ms");
    result.idleTimeoutMs = settings.integer("idle-timeout-ms");
    result.bodyTimeoutMs = settings.integer("body-timeout-ms");
    result.bufferBytes = settings.integer("buffer-bytes");
    result.reportIntervalMs = settings.integer("report-interval-ms");
    result.trustClientParameter = settings.flag("trust-client-parameter");
    if (!parseLogLevel(settings.text("log-level"), result.logLevel)) {
        faults.push_back({SettingFaultKind::OutOfRange, "log-level", settings.text("log-level")});
    }
    return faults;
}

} // namespace Wasabistair::App
