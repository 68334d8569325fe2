#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

/// What the users' platform hands to the system, as tests need it.
namespace Wasabistair::StandIns {

/// Registry entry of an upstream of service "svc" with four slots.
[[nodiscard]] nlohmann::json upstreamObject(std::uint16_t port, const std::string &zone, const std::string &state);

/// Sticky route of host "h.example" to service "svc".
[[nodiscard]] nlohmann::json routeObject(const std::string &prefix, const std::string &kind, std::int64_t timeoutMs, int maxAttempts);

/// Manifest with @p routes by name and service "svc".
[[nodiscard]] nlohmann::json manifestObject(int version, const nlohmann::json &routes);

/// An entry VM on loopback.
struct EntryPlace {
    std::string vm;
    std::string zone;
    /// Region of each zone.
    std::map<std::string, std::string> regionOfZone;
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t lookupPort = 0;
    std::uint16_t firstInnerPort = 0;
    std::uint16_t lastInnerPort = 0;
    std::uint16_t storePort = 0;

    bool operator==(const EntryPlace &) const = default;
};

/// Text of the VM's settings file.
[[nodiscard]] std::string entrySettings(const EntryPlace &place);

/// A good registry entry and a good manifest with each kind of route, as the platform's pages show them.
[[nodiscard]] nlohmann::json sampleUpstream();
[[nodiscard]] nlohmann::json sampleManifest();

} // namespace Wasabistair::StandIns
