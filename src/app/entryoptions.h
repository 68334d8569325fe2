#pragma once

#include <base/log.h>
#include <base/settings.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Wasabistair::App {

/// The product's own settings of an entry VM on the users' platform: flags and environment variables.
struct EntryOptions {
    /// How long callers may keep a look-up's answer, in ms.
    std::int64_t lookupAgeMs = 1'500;
    /// Silence after which another VM counts as dead, in ms.
    std::int64_t peerSilenceMs = 3'400;
    /// Connections of callers served at once.
    int maxConnections = 1'500;
    /// Part of the VM's memory for bodies, in percent.
    int bodyMemoryPercent = 40;
    Base::LogLevel logLevel = Base::LogLevel::Info;

    auto operator<=>(const EntryOptions &) const = default;
};

[[nodiscard]] std::vector<Base::SettingSpec> entryOptionSpecs();
[[nodiscard]] std::vector<Base::SettingFault> readEntryOptions(const Base::Settings &settings, EntryOptions &result);

} // namespace Wasabistair::App
