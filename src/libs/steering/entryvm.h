#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Wasabistair::Steering {

/// One VM of this system as it registers itself.
struct EntryVm {
    std::string name;
    std::string zone;
    std::string region;
    /// IP address, the same for all its ports.
    std::string ip;
    std::uint16_t callerPort = 0;
    std::uint16_t peerPort = 0;
    /// Different for each start of the process.
    std::uint64_t incarnation = 0;
    /// Part of a core.
    double processorShare = 1;
    double linkMbps = 1000;

    auto operator<=>(const EntryVm &) const = default;
};

} // namespace Wasabistair::Steering
