#pragma once

#include <base/log.h>
#include <base/settings.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Wasabistair::App {

/// Validated settings of wasabistaird.
struct DaemonSettings {
    std::string vm;
    std::string region;
    std::string zone;
    Base::HostPort callerAddress;
    Base::HostPort nodeAddress;
    Base::HostPort platform;
    std::vector<Base::HostPort> seeds;
    int platformTimeoutMs = 0;
    int maxConnections = 0;
    std::int64_t maxHeaderBytes = 0;
    std::int64_t headerTimeoutMs = 0;
    std::int64_t idleTimeoutMs = 0;
    std::int64_t bodyTimeoutMs = 0;
    std::int64_t bufferBytes = 0;
    std::int64_t reportIntervalMs = 0;
    bool trustClientParameter = false;
    Base::LogLevel logLevel = Base::LogLevel::Info;
};

[[nodiscard]] std::vector<Base::SettingSpec> daemonSettingSpecs();
/// Fills @p result. Returns the faults that the setting specifications can't detect, such as a malformed list of seeds.
[[nodiscard]] std::vector<Base::SettingFault> readDaemonSettings(const Base::Settings &settings, DaemonSettings &result);

/// Sets @p level to the level named @p text; returns false if there is no such level.
[[nodiscard]] bool parseLogLevel(const std::string &text, Base::LogLevel &level);

} // namespace Wasabistair::App
