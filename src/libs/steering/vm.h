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

/// A VM in the platform's list of VMs.
struct Vm {
    std::string id;
    VmKind kind = VmKind::Entry;
    VmState state = VmState::Live;
    std::string host;
    /// Port for requests: callers connect to it on an entry VM, entry VMs on an upstream.
    std::uint16_t port = 0;
    /// Port that other processes of this system connect to; entry VMs only.
    std::uint16_t nodePort = 0;
    std::string region;
    std::string zone;
    /// Service that the VM runs; upstreams only.
    std::string service;
    /// Start time of the VM.
    WallMs since = 0;

    auto operator<=>(const Vm &) const = default;
};

} // namespace Wasabistair::Steering
