#pragma once

#include <base/log.h>
#include <base/settings.h>
#include <steering/admission.h>
#include <steering/routingsnapshot.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Wasabistair::App {

/// Options of an entry VM on the users' platform, from flags and environment variables. The platform's own settings come from the settings file.
struct EntryOptions {
    /// Time for which callers may cache a look-up answer, in ms.
    std::int64_t lookupAgeMs = 1'500;
    /// Time without a heartbeat after which another VM counts as dead, in ms.
    std::int64_t peerSilenceMs = 3'400;
    /// Caller connections served at the same time.
    int maxConnections = 1'500;
    /// Percentage of the VM's memory for bodies of requests and answers.
    int bodyMemoryPercent = 40;
    Steering::AdmissionMode admission = Steering::AdmissionMode::Auto;
    /// For which services keys are placed zone by zone, and requests go to the upstream that is expected to answer first.
    Steering::PlacementMode placement = Steering::PlacementMode::Off;
    Base::LogLevel logLevel = Base::LogLevel::Info;

    auto operator<=>(const EntryOptions &) const = default;
};

[[nodiscard]] std::vector<Base::SettingSpec> entryOptionSpecs();
[[nodiscard]] std::vector<Base::SettingFault> readEntryOptions(const Base::Settings &settings, EntryOptions &result);

} // namespace Wasabistair::App
