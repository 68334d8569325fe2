#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

/// Objects and settings in the format of the users' platform, for tests.
namespace Wasabistair::StandIns {

/// Registry entry of an upstream of service "svc" with four slots, on loopback.
[[nodiscard]] nlohmann::json upstreamObject(std::uint16_t port, const std::string &zone, const std::string &state);

/// Sticky route of host "h.example" to service "svc".
[[nodiscard]] nlohmann::json routeObject(const std::string &prefix, const std::string &kind, std::int64_t timeoutMs, int maxAttempts);

/// Manifest with @p routes by name and service "svc".
[[nodiscard]] nlohmann::json manifestObject(int version, const nlohmann::json &routes);

/// Identity, locality and loopback ports of an entry VM.
struct EntryVmConfig {
    std::string vm;
    std::string zone;
    /// Region of each zone.
    std::map<std::string, std::string> regionOfZone;
    /// Ports for callers, readiness checks and look-ups.
    std::uint16_t callerPort = 0;
    std::uint16_t readyPort = 0;
    std::uint16_t lookupPort = 0;
    /// Ports for connections between VMs; the first one is that of the VM's peer address.
    std::uint16_t firstInnerPort = 0;
    std::uint16_t lastInnerPort = 0;
    /// Port of the platform's object store.
    std::uint16_t storePort = 0;

    bool operator==(const EntryVmConfig &) const = default;
};

/// Text of the VM's settings file (TOML).
[[nodiscard]] std::string entrySettings(const EntryVmConfig &place);

/// A valid registry entry, and a valid manifest with each kind of route, as in the platform's documentation.
[[nodiscard]] nlohmann::json sampleUpstream();
[[nodiscard]] nlohmann::json sampleManifest();

} // namespace Wasabistair::StandIns
