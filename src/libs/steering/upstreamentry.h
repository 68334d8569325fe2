#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Wasabistair::Steering {

/// What the registry says of one upstream.
struct UpstreamEntry {
    std::string id;
    std::string service;
    std::string host;
    std::uint16_t port = 0;
    std::string zone;
    std::string softwareVersion;
    int slots = 1;
    /// Asked for no new requests.
    bool leaving = false;
    /// How much longer it stays cold, in ms, when the registry learned it.
    std::int64_t coldLeftMs = 0;
    /// Start of this incarnation, Unix ms; 0 when unknown. An upstream may start again under its id.
    std::int64_t startedAtMs = 0;

    auto operator<=>(const UpstreamEntry &) const = default;
};

} // namespace Wasabistair::Steering
