#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Wasabistair::Steering {

/// An entry VM as it registers itself.
struct EntryVm {
    std::string name;
    std::string zone;
    std::string region;
    /// IP address of all ports of the VM.
    std::string ip;
    std::uint16_t callerPort = 0;
    std::uint16_t peerPort = 0;
    /// Differs between starts of the process.
    std::uint64_t incarnation = 0;
    /// Processor time that the VM may use, in cores.
    double processorShare = 1;
    double linkMbps = 1000;
    /// Every VM that may keep limits of teams in this VM's part of the fleet ranks this VM.
    bool confirmedKeeper = false;
    /// The store may still come back from an older copy that lacks this registration. Such a VM keeps no limits of teams.
    bool provisional = false;

    auto operator<=>(const EntryVm &) const = default;
};

} // namespace Wasabistair::Steering
