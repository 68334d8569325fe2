#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Wasabistair::Steering {

/// Registration of one upstream.
struct UpstreamEntry {
    std::string id;
    std::string service;
    std::string host;
    std::uint16_t port = 0;
    std::string zone;
    std::string softwareVersion;
    int slots = 1;
    /// The upstream is draining: it has asked for no new requests.
    bool leaving = false;
    /// Remaining cold start in ms at the time of the registration.
    std::int64_t coldLeftMs = 0;
    /// Start of this incarnation, Unix ms; 0 when unknown. A restarted upstream may keep its id.
    std::int64_t startedAtMs = 0;

    auto operator<=>(const UpstreamEntry &) const = default;
};

} // namespace Wasabistair::Steering
