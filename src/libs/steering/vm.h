#pragma once

#include "objects.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Wasabistair::Steering {

enum class VmKind {
    Entry,
    Upstream,
};

enum class VmState {
    Live,
    Leaving,
};

/// One entry of the platform's list of VMs.
struct Vm {
    std::string id;
    VmKind kind = VmKind::Entry;
    VmState state = VmState::Live;
    std::string host;
    /// Port that callers (entry VM) or entry VMs (upstream) connect to.
    std::uint16_t port = 0;
    /// Port for other processes of this system; entry VMs only.
    std::uint16_t nodePort = 0;
    std::string region;
    std::string zone;
    /// Service that an upstream runs.
    std::string service;
    /// When the VM started.
    WallMs since = 0;

    auto operator<=>(const Vm &) const = default;
};

} // namespace Wasabistair::Steering
